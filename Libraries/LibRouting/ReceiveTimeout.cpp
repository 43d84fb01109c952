// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/ReceiveTimeout.h>

#include <utility>

namespace Routing {

void ReceiveTimeout::on_received(Core::Time running_now)
{
    m_last_received_at = running_now;
    m_was_exceeded = false;
}

bool ReceiveTimeout::check_timeout(Core::Time running_now, Core::Duration timeout)
{
    bool const is_exceeded = elapsed(running_now) >= timeout;
    bool const was_exceeded = std::exchange(m_was_exceeded, is_exceeded);
    return is_exceeded && was_exceeded;
}

}
