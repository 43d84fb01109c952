// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/ReadTimes.h>

namespace Distribution {

static constexpr double slow_read_factor = 2;

static double smoothed(double mean, double sample)
{
    static constexpr double memory = 0.8;
    return mean == 0 ? sample : memory * mean + (1 - memory) * sample;
}

void ReadTimes::on_fetched(Core::Duration took, std::optional<Core::Duration> bytes_lasted, size_t reads)
{
    m_mean_ms = smoothed(m_mean_ms, static_cast<double>(took.count()));
    // Concurrent reads share the link, so the duration of each is divided by their number.
    if (bytes_lasted)
        m_mean_bytes_ms = smoothed(m_mean_bytes_ms, static_cast<double>(bytes_lasted->count()) / static_cast<double>(reads));
}

bool ReadTimes::is_slow(Core::Duration lasted) const
{
    return m_mean_ms > 0 && static_cast<double>(lasted.count()) >= slow_read_factor * m_mean_ms;
}

bool ReadTimes::is_link_slower_than(Core::Duration limit) const
{
    return m_mean_bytes_ms > static_cast<double>(limit.count());
}

}
