// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/SnapshotSchedule.h>

namespace Configuration {

SnapshotSchedule::SnapshotSchedule(Core::Duration retention, uint64_t seed)
    : m_retention(retention)
    , m_random(seed)
{
}

void SnapshotSchedule::draw(Core::Time now)
{
    // Between a quarter and half of the retention, so that time is left for another attempt if one snapshot fails.
    std::uniform_int_distribution<int64_t> wait(m_retention.count() / 4, m_retention.count() / 2);
    m_due = now + Core::Duration(wait(m_random));
    m_is_drawn = true;
}

void SnapshotSchedule::on_snapshot_seen(Core::Time now)
{
    m_records = 0;
    draw(now);
}

void SnapshotSchedule::on_record()
{
    m_records += 1;
}

bool SnapshotSchedule::take_due(Core::Time now)
{
    if (!m_is_drawn)
        draw(now);
    bool const is_crowded = m_records >= records_between_snapshots;
    if (now < m_due && !is_crowded)
        return false;
    m_records = 0;
    m_due = now + retry_interval;
    return true;
}

}
