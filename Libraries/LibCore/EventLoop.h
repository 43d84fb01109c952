// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <functional>
#include <memory>
#include <sys/time.h>
#include <vector>

struct event;
struct event_base;

namespace Core {

/// Converts a duration to the type that libevent and socket options use.
timeval to_timeval(Duration);

/// A timer of an EventLoop. Destroying it cancels it; its own callback may do so too. It must not outlive the loop.
class Timer {
public:
    ~Timer();
    Timer(Timer const&) = delete;
    Timer& operator=(Timer const&) = delete;

private:
    friend class EventLoop;
    Timer() = default;

    static void fired(int, short, void*);

    event* m_event { nullptr };
    std::function<void()> m_callback;
};

/// The event loop of a process, built on libevent. All code of the process runs on its single thread. The constructor makes the process
/// ignore SIGPIPE.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(EventLoop const&) = delete;
    EventLoop& operator=(EventLoop const&) = delete;

    event_base* base() const { return m_base; }

    /// Calls back repeatedly at the given interval until the timer is destroyed.
    [[nodiscard]] std::unique_ptr<Timer> every(Duration, std::function<void()>);
    /// Calls back once after the given delay, unless the timer is destroyed before.
    [[nodiscard]] std::unique_ptr<Timer> after(Duration, std::function<void()>);

    /// Runs the callback once in the next iteration of the loop. Callbacks that have not run when the loop is destroyed are dropped.
    void soon(std::function<void()>);

    /// Calls back on SIGTERM and SIGINT. To be called once at most.
    void on_stop_signal(std::function<void()>);

    /// Calls back on SIGHUP. To be called once at most.
    void on_reload_signal(std::function<void()>);

    /// Runs until stop() is called, also while there is no event to wait for.
    void run();
    /// Makes run() return after the callback that is running now.
    void stop();

private:
    void run_soon();
    std::unique_ptr<Timer> make_timer(Duration, short flags, std::function<void()>);

    event_base* m_base { nullptr };
    event* m_soon_event { nullptr };
    std::vector<std::function<void()>> m_soon;
    event* m_terminate { nullptr };
    event* m_interrupt { nullptr };
    event* m_hangup { nullptr };
    std::function<void()> m_on_stop;
    std::function<void()> m_on_reload;
};

}
