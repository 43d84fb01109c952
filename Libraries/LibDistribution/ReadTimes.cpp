// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/ReadTimes.h>

namespace Distribution {

static constexpr double slow_read_factor = 2;

static double smoothed(double mean, double sample)
{
    static constexpr double memory = 0.8;
    return mean == 0 ? sample : memory * mean + (1 - memory) * sample;
}

void ReadTimes::on_fetched(Core::Duration duration, std::optional<Core::Duration> first_to_last_byte, size_t concurrent_reads)
{
    m_mean_ms = smoothed(m_mean_ms, static_cast<double>(duration.count()));
    // Concurrent reads share the link, so the duration of each is divided by their number.
    if (first_to_last_byte)
        m_mean_bytes_ms = smoothed(m_mean_bytes_ms, static_cast<double>(first_to_last_byte->count()) / static_cast<double>(concurrent_reads));
}

bool ReadTimes::is_slow(Core::Duration elapsed) const
{
    return m_mean_ms > 0 && static_cast<double>(elapsed.count()) >= slow_read_factor * m_mean_ms;
}

bool ReadTimes::is_link_slower_than(Core::Duration limit) const
{
    return m_mean_bytes_ms > static_cast<double>(limit.count());
}

}
