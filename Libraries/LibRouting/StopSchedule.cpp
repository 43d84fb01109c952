// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/StopSchedule.h>

#include <algorithm>

namespace Routing {

void StopSchedule::begin(Times const& times, Core::Time now)
{
    if (has_begun())
        return;
    m_began_at = now;
    auto const until_answers = std::max(times.until_answers, Core::Duration(0));
    m_notice_ends_at = now + std::min(times.notice, until_answers / 2);
    m_answers_at = now + until_answers;
    m_exits_at = now + std::max(times.until_exit, until_answers);
}

bool StopSchedule::may_send(Core::Time deadline, Core::Time now) const
{
    if (!has_begun() || !is_notice_over(now))
        return true;
    return now < *m_answers_at && deadline <= *m_answers_at;
}

}
