// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/PauseWatch.h>

#include <algorithm>

namespace Core {

static constexpr Duration pause_check_interval { 100 };
// A loop that is merely busy completes an iteration within a tenth of this.
static constexpr Duration shortest_pause { 500 };
// A running loop checks again within this time, even on an instance that is short of processor time.
static constexpr Duration longest_busy_gap { 200 };

PauseWatch::PauseWatch(EventLoop& loop)
    : m_checked_at(monotonic_now())
    , m_timer(loop.every(pause_check_interval, [this] { check_for_pause(); }))
{
}

std::optional<PauseWatch::Pause> PauseWatch::last(Time now) const
{
    if (now - m_checked_at >= shortest_pause)
        return Pause { m_checked_at, now };
    return m_last;
}

Duration PauseWatch::total_paused_time(Time now) const
{
    return m_total_paused_time + std::max(Duration(0), now - m_checked_at - longest_busy_gap);
}

Time PauseWatch::earliest_arrival(Time waiting_since, Time now) const
{
    auto const pause = last(now);
    if (!pause || pause->ended < waiting_since)
        return now;
    return std::max(pause->began, waiting_since);
}

void PauseWatch::on_resumed(Duration shortest, std::function<void(Duration)> callback)
{
    m_shortest_reported = shortest;
    m_on_resumed = std::move(callback);
}

void PauseWatch::check_for_pause()
{
    auto const now = monotonic_now();
    auto const paused_for = now - m_checked_at;
    m_last = last(now);
    m_total_paused_time = total_paused_time(now);
    m_checked_at = now;
    if (m_on_resumed && paused_for >= std::max(m_shortest_reported, shortest_pause))
        m_on_resumed(paused_for);
}

}
