// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/StopSchedule.h>

#include <algorithm>

namespace Routing {

void StopSchedule::begin(Times const& times, Core::Time now)
{
    if (has_begun())
        return;
    m_began_at = now;
    m_notice_ends_at = now + std::min(times.notice, times.available / 2);
    m_ends_at = now + times.available;
}

std::optional<Core::Duration> StopSchedule::remaining(Core::Time now) const
{
    if (!has_begun())
        return {};
    return *m_ends_at - now;
}

bool StopSchedule::may_send(Core::Time deadline, Core::Time now) const
{
    if (!has_begun() || !is_notice_over(now))
        return true;
    return now < *m_ends_at && deadline <= *m_ends_at;
}

}
