// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>

namespace Distribution {

/// The versions that an engine was to reach and has not reached, with the time at which each was named.
///
/// Each named version has a bound of its own. One that was skipped for a newer one is met by the newer one; until then
/// its bound, which is the earlier one, holds.
class UnmetGoals {
public:
    void on_named(int64_t version, Core::Time named_at);
    /// The engine serves a version: this one and all before it are met.
    void on_serving(int64_t version);

    /// When the oldest version was named that is not met; nothing if all are.
    std::optional<Core::Time> oldest_named_at() const;

private:
    std::map<int64_t, Core::Time> m_named_at;
};

}
