// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AnswerSilence.h>

#include <utility>

namespace Routing {

void AnswerSilence::on_heard(Core::Time running_now)
{
    m_heard_at = running_now;
    m_was_silent = false;
}

bool AnswerSilence::look(Core::Time running_now, Core::Duration patience)
{
    bool const is_silent = lasts(running_now) >= patience;
    bool const was_silent = std::exchange(m_was_silent, is_silent);
    return is_silent && was_silent;
}

}
