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

/// As libevent and sockets take it.
timeval to_timeval(Duration);

/// A timer that ends with its owner.
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

/// The process's one loop on its one thread, over libevent.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(EventLoop const&) = delete;
    EventLoop& operator=(EventLoop const&) = delete;

    event_base* base() const { return m_base; }

    [[nodiscard]] std::unique_ptr<Timer> every(Duration, std::function<void()>);
    [[nodiscard]] std::unique_ptr<Timer> after(Duration, std::function<void()>);

    /// Runs the callback once in the loop's next turn. What has not run when the loop ends is dropped.
    void soon(std::function<void()>);

    /// Calls back on SIGTERM and SIGINT, and ignores SIGPIPE.
    void on_stop_signal(std::function<void()>);

    /// Calls back on SIGHUP.
    void on_reload_signal(std::function<void()>);

    void run();
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
