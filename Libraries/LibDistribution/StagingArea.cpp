// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/StagingArea.h>

#include <algorithm>

namespace Distribution {

StagingArea::StagingArea(StagingAreaSettings settings)
    : m_settings(settings)
{
}

void StagingArea::on_write_sent(Core::Time now)
{
    m_writes_in_flight += 1;
    m_last_write_at = now;
}

void StagingArea::on_write_ended(bool is_answered, Core::Time now)
{
    m_writes_in_flight -= 1;
    if (!is_answered)
        m_unsettled_since = now;
}

void StagingArea::on_order_unanswered(Core::Time sent_at)
{
    m_order_open_since = m_order_open_since ? std::min(*m_order_open_since, sent_at) : sent_at;
}

void StagingArea::on_order_accepted(std::optional<int64_t> expected_sequence)
{
    m_has_written_beside_taken_order = false;
    // Without sequence numbers the engine takes any order.
    if (!expected_sequence)
        return;
    m_order_sequence = *expected_sequence + 1;
    m_order_open_since.reset();
    m_may_have_earlier_order = false;
}

void StagingArea::on_report(Platform::EngineReport const& report, Core::Time now)
{
    bool const was_order_taken = m_order_sequence && report.order_sequence && *report.order_sequence > *m_order_sequence;
    if (was_order_taken) {
        m_has_written_beside_taken_order = has_written_beside_open_order();
        m_order_open_since.reset();
    }
    m_order_sequence = report.order_sequence;
    if (!m_answering_since)
        m_answering_since = now;
    // Without sequence numbers only time tells that an order will not be taken any more.
    bool const is_order_over = m_order_open_since && now - std::max(*m_order_open_since, *m_answering_since) >= m_settings.settle_time;
    if (!report.order_sequence && is_order_over)
        m_order_open_since.reset();
    if (!m_unsettled_since || now - std::max(*m_unsettled_since, *m_answering_since) < m_settings.settle_time)
        return;
    m_unsettled_since.reset();
    m_may_have_earlier_order = false;
}

void StagingArea::on_unreachable()
{
    m_answering_since.reset();
}

bool StagingArea::has_written_beside_open_order() const
{
    if (m_has_written_beside_taken_order)
        return true;
    if (!m_last_write_at)
        return false;
    return m_may_have_earlier_order || (m_order_open_since && *m_last_write_at > *m_order_open_since);
}

}
