// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/PauseWatch.h>

#include <algorithm>

namespace Core {

static constexpr Duration turn_interval { 100 };
// A loop that is only busy comes round within a tenth of this.
static constexpr Duration shortest_pause { 500 };

PauseWatch::PauseWatch(EventLoop& loop)
    : m_awake_at(monotonic_now())
    , m_timer(loop.every(turn_interval, [this] { on_turn(); }))
{
}

std::optional<PauseWatch::Pause> PauseWatch::last(Time now) const
{
    if (now - m_awake_at >= shortest_pause)
        return Pause { m_awake_at, now };
    return m_last;
}

Time PauseWatch::earliest_arrival(Time waited_since, Time now) const
{
    auto const pause = last(now);
    if (!pause || pause->ended < waited_since)
        return now;
    return std::max(pause->began, waited_since);
}

void PauseWatch::on_turn()
{
    auto const now = monotonic_now();
    m_last = last(now);
    m_awake_at = now;
}

}
