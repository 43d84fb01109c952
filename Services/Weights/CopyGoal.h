// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CopyFetcher.h"
#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <optional>

namespace Weights {

/// The version that a copy is brought to, and the newest named one while the transfer of that version goes on to its end.
class CopyGoal {
public:
    struct Callbacks {
        /// Whether a version is still needed here.
        std::function<bool(int64_t version)> is_seeking;
        /// The copy turns to another version, named at a time: the present one is still in place. May be empty.
        std::function<void(Schema::WeightsGoal const& next, Core::Time named_at)> turning;
    };

    /// The fetcher outlives the goal.
    CopyGoal(CopyFetcher&, Callbacks);

    /// Takes a named version. An older one than the present is ignored; a newer one may have to wait.
    /// @return whether the copy has turned to it.
    bool name(Schema::WeightsGoal const&, Core::Time named_at);
    /// Turns to the version that waits, if it need not wait any longer.
    void take_next();

    /// What the copy is brought to; nothing before a version is named.
    std::optional<Schema::WeightsGoal> const& present() const { return m_present; }
    Core::Time named_at() const { return m_named_at; }

private:
    struct Next {
        Schema::WeightsGoal goal;
        Core::Time named_at { 0 };
    };

    bool is_finishing_first(int64_t newer) const;
    void turn_to(Schema::WeightsGoal const&, Core::Time named_at);

    CopyFetcher& m_fetcher;
    Callbacks m_callbacks;
    std::optional<Schema::WeightsGoal> m_present;
    Core::Time m_named_at { 0 };
    std::optional<Next> m_next;
};

}
