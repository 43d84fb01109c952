// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Distribution {

/// Running means of how long reads take here.
class ReadTimes {
public:
    /// A read ended. `bytes_lasted`: from its first bytes to its last; `reads`: those that shared this instance's link.
    void on_fetched(Core::Duration took, std::optional<Core::Duration> bytes_lasted, size_t reads);

    /// A read has taken much longer than others do.
    bool is_slow(Core::Duration lasted) const;
    /// One read alone on this instance's link takes longer than this from its first bytes to its last.
    bool is_link_slower_than(Core::Duration) const;

private:
    double m_mean_ms { 0 };
    double m_mean_bytes_ms { 0 };
};

}
