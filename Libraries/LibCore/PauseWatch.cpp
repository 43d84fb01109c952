// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/PauseWatch.h>

#include <algorithm>

namespace Core {

static constexpr Duration turn_interval { 100 };
// A loop that is merely busy completes an iteration within a tenth of this.
static constexpr Duration shortest_pause { 500 };
// A running loop checks again within this time, even on an instance that is short of processor time.
static constexpr Duration longest_turn { 200 };

PauseWatch::PauseWatch(EventLoop& loop)
    : m_awake_at(monotonic_now())
    , m_timer(loop.every(turn_interval, [this] { look(); }))
{
}

std::optional<PauseWatch::Pause> PauseWatch::last(Time now) const
{
    if (now - m_awake_at >= shortest_pause)
        return Pause { m_awake_at, now };
    return m_last;
}

Duration PauseWatch::stood_still(Time now) const
{
    return m_stood_still + std::max(Duration(0), now - m_awake_at - longest_turn);
}

Time PauseWatch::earliest_arrival(Time waited_since, Time now) const
{
    auto const pause = last(now);
    if (!pause || pause->ended < waited_since)
        return now;
    return std::max(pause->began, waited_since);
}

void PauseWatch::on_woke(Duration shortest, std::function<void(Duration)> callback)
{
    m_shortest_told = shortest;
    m_on_woke = std::move(callback);
}

void PauseWatch::look()
{
    auto const now = monotonic_now();
    auto const paused_for = now - m_awake_at;
    m_last = last(now);
    m_stood_still = stood_still(now);
    m_awake_at = now;
    if (m_on_woke && paused_for >= std::max(m_shortest_told, shortest_pause))
        m_on_woke(paused_for);
}

}
