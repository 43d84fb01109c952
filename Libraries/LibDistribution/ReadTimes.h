// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Distribution {

/// Exponentially weighted mean durations of this instance's chunk reads, to detect slow reads and a slow link.
class ReadTimes {
public:
    /// Records a completed read. `duration` is its whole time, `first_to_last_byte` the time from its first bytes to its last if known, and
    /// `concurrent_reads` the number of reads that shared this instance's link, including this one.
    void on_fetched(Core::Duration duration, std::optional<Core::Duration> first_to_last_byte, size_t concurrent_reads);

    /// Whether a read that has run for this time has taken at least twice as long as the mean. Always false before the first completed
    /// read.
    bool is_slow(Core::Duration elapsed) const;
    /// Whether a read that had this instance's link to itself would take longer than this, on average, from its first bytes to its last.
    bool is_link_slower_than(Core::Duration) const;

private:
    double m_mean_ms { 0 };
    double m_mean_bytes_ms { 0 };
};

}
