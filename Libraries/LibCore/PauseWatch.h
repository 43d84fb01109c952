// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Time.h>
#include <functional>
#include <memory>
#include <optional>

namespace Core {

/// Notices that the whole process stood still: stopped by a signal, on an instance that froze or was suspended, or short of processor
/// time.
///
/// What such a process finds in its sockets when it goes on may have been there for as long as it stood still, so nothing
/// that was read then is as new as the clock says.
class PauseWatch {
public:
    struct Pause {
        Time began;
        Time ended;
    };

    explicit PauseWatch(EventLoop&);

    /// Called once after each pause of at least `shortest`, with its length. The timers of the loop may be behind what waits in its
    /// sockets, so whoever reads from these calls look() first.
    void on_woke(Duration shortest, std::function<void(Duration)> callback);

    /// Whether a pause has just ended; tells those who want to know.
    void look();

    /// The last pause that is over, also one that ended just now.
    std::optional<Pause> last(Time now) const;

    /// How long the process has stood still in all until now, as far as that is more than a busy loop takes for one turn.
    Duration stood_still(Time now) const;

    /// A clock that does not count the time in which the process stood still: whoever heard nothing then has missed nothing.
    Time running_time(Time now) const { return now - stood_still(now); }

    /// The earliest time at which something can have come that is read now and was waited for since `waited_since`: now, or
    /// the beginning of a pause within that wait.
    Time earliest_arrival(Time waited_since, Time now) const;

private:
    Time m_awake_at;
    // Until m_awake_at.
    Duration m_stood_still { 0 };
    Duration m_shortest_told { 0 };
    std::function<void(Duration)> m_on_woke;
    std::optional<Pause> m_last;
    std::unique_ptr<Timer> m_timer;
};

}
