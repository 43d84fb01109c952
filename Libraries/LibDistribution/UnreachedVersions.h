// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>

namespace Distribution {

/// The versions that the operator named in the log records and that an engine does not serve yet, with the time at which each was named.
///
/// Each named version has its own deadline. A version that was skipped for a newer one counts as reached when the newer one is served;
/// until then its earlier deadline applies.
class UnreachedVersions {
public:
    void on_named(int64_t version, Core::Time named_at);
    /// Records that the engine serves a version. This version and all older ones count as reached.
    void on_serving(int64_t version);

    /// Returns when the oldest version that is not reached was named, or std::nullopt if all are reached.
    std::optional<Core::Time> oldest_named_at() const;

private:
    std::map<int64_t, Core::Time> m_named_at;
};

}
