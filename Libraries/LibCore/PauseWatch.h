// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Time.h>
#include <functional>
#include <memory>
#include <optional>

namespace Core {

/// Detects pauses, times in which the whole process did not run: it was stopped by a signal, its instance was frozen or suspended, or it
/// got no processor time. A timer of the event loop checks every 100 ms; a gap of at least 500 ms between two checks is a pause.
///
/// Data that the process reads from its sockets after a pause may have arrived at any time during the pause, so its age must not be
/// computed from the time of reading.
class PauseWatch {
public:
    /// The beginning and the end of a pause on the clock of monotonic_now().
    struct Pause {
        Time began;
        Time ended;
    };

    explicit PauseWatch(EventLoop&);

    /// Sets the callback that is called once after each pause of at least `shortest` (and at least 500 ms) with the length of the pause.
    /// After a pause the loop may handle readable sockets before its timers, so code that handles received data calls check_for_pause()
    /// first.
    void on_resumed(Duration shortest, std::function<void(Duration)> callback);

    /// Checks whether a pause has just ended, and if so records it and calls the callback.
    void check_for_pause();

    /// The most recent pause, including one that no check has recorded yet and that then ends at `now`. Empty if there was none.
    std::optional<Pause> last(Time now) const;

    /// The total time until `now` in which the process did not run. Of each gap between two checks only the part beyond 200 ms counts,
    /// because a running loop may need that long to check again.
    Duration total_paused_time(Time now) const;

    /// A clock that leaves out the pauses of this process, for timeouts of received data: while the process does not run it cannot receive
    /// anything, so that time must not count as silence of a peer.
    Time running_time(Time now) const { return now - total_paused_time(now); }

    /// The earliest time at which data that is read at `now` can have arrived, if the process has waited for it since `waiting_since`.
    /// This is `now`, or where a pause overlapped with that wait, the beginning of the pause or `waiting_since`, whichever is later.
    Time earliest_arrival(Time waiting_since, Time now) const;

private:
    // When the last check ran.
    Time m_checked_at;
    // The total until m_checked_at.
    Duration m_total_paused_time { 0 };
    Duration m_shortest_reported { 0 };
    std::function<void(Duration)> m_on_resumed;
    std::optional<Pause> m_last;
    std::unique_ptr<Timer> m_timer;
};

}
