// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CopyFetcher.h"
#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <optional>

namespace Weights {

/// The version that a CopyFetcher fetches, and the newest version that the operator named in the log records, which may have to wait while
/// the transfer of the current one should be finished first (Distribution::should_finish_first()).
class CopyGoal {
public:
    struct Callbacks {
        /// Returns whether this instance still needs a version.
        std::function<bool(int64_t version)> is_seeking;
        /// The current version is about to be replaced by `next`, which was named at `named_at`. current() still returns the old one.
        /// May be null.
        std::function<void(Schema::WeightsGoal const& next, Core::Time named_at)> before_switch;
    };

    /// The fetcher must outlive this object.
    CopyGoal(CopyFetcher&, Callbacks);

    /// Applies a named version. A version without chunks and origin, and one older than the current one, is ignored. A newer one replaces
    /// the current one, or waits as long as the current one's transfer should be finished first. For the current version, the earlier of
    /// both times is kept.
    /// @return whether the version has replaced the current one.
    bool on_version_named(Schema::WeightsGoal const&, Core::Time named_at);
    /// Switches to the waiting version, if there is one that need not wait any longer.
    void switch_if_due();

    /// The current version; std::nullopt before the first version is named.
    std::optional<Schema::WeightsGoal> const& current() const { return m_current; }
    /// When the current version was named.
    Core::Time named_at() const { return m_named_at; }

private:
    struct Next {
        Schema::WeightsGoal goal;
        Core::Time named_at { 0 };
    };

    bool must_finish_current_first(int64_t newer) const;
    void switch_to(Schema::WeightsGoal const&, Core::Time named_at);

    CopyFetcher& m_fetcher;
    Callbacks m_callbacks;
    std::optional<Schema::WeightsGoal> m_current;
    Core::Time m_named_at { 0 };
    std::optional<Next> m_next;
};

}
