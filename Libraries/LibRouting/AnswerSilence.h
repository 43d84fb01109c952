// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>

namespace Routing {

/// Judges whether a backend server that runs a request has fallen silent.
///
/// Takes time from a clock that leaves out when the process itself stood still (Core::PauseWatch::running_time), as a server
/// cannot be heard then. A silence counts from the second look in a row on: by then all was read that lay unread at the first.
class AnswerSilence {
public:
    /// Bytes came, or the connection stood.
    void on_heard(Core::Time running_now);

    /// Looks once a turn of the loop.
    /// @return whether nothing came for `patience`.
    bool look(Core::Time running_now, Core::Duration patience);

    Core::Duration lasts(Core::Time running_now) const { return running_now - m_heard_at; }

private:
    Core::Time m_heard_at { 0 };
    bool m_was_silent { false };
};

}
