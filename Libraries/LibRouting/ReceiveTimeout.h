// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>

namespace Routing {

/// Detects that a backend server that runs a request has sent nothing for longer than a timeout.
///
/// All times come from a clock that does not advance while this process is paused (Core::PauseWatch::running_time), because
/// the process cannot receive anything then. The timeout is reported only if two checks in a row find it exceeded: between them the event
/// loop has read all bytes that lay unread in the socket at the first check.
class ReceiveTimeout {
public:
    /// The connection was established, or bytes were received.
    void on_received(Core::Time running_now);

    /// Checks the timeout; called once per iteration of the event loop.
    /// @return whether nothing was received for `timeout`, at this check and at the one before.
    bool check_timeout(Core::Time running_now, Core::Duration timeout);

    /// Time since the last on_received().
    Core::Duration elapsed(Core::Time running_now) const { return running_now - m_last_received_at; }

private:
    Core::Time m_last_received_at { 0 };
    bool m_was_exceeded { false };
};

}
