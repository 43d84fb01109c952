// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/SnapshotSchedule.h>

namespace Configuration {

SnapshotSchedule::SnapshotSchedule(Core::Duration retention, uint64_t seed)
    : m_retention(retention)
    , m_random(seed)
{
}

void SnapshotSchedule::schedule_next(Core::Time now)
{
    // Between a quarter and half of the retention, so that time is left for another attempt if one snapshot fails.
    std::uniform_int_distribution<int64_t> wait(m_retention.count() / 4, m_retention.count() / 2);
    m_due = now + Core::Duration(wait(m_random));
    m_is_scheduled = true;
}

void SnapshotSchedule::on_snapshot_read(Core::Time now)
{
    m_records_since_snapshot = 0;
    schedule_next(now);
}

void SnapshotSchedule::on_record()
{
    m_records_since_snapshot += 1;
}

bool SnapshotSchedule::poll_due(Core::Time now)
{
    if (!m_is_scheduled)
        schedule_next(now);
    bool const has_too_many_records = m_records_since_snapshot >= records_between_snapshots;
    if (now < m_due && !has_too_many_records)
        return false;
    m_records_since_snapshot = 0;
    m_due = now + retry_interval;
    return true;
}

}
