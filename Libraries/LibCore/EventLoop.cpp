// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/EventLoop.h>

#include <csignal>
#include <event2/event.h>
#include <utility>

namespace Core {

timeval to_timeval(Duration duration)
{
    timeval value {};
    value.tv_sec = duration.count() / 1000;
    value.tv_usec = (duration.count() % 1000) * 1000;
    return value;
}

Timer::~Timer()
{
    if (m_event)
        event_free(m_event);
}

void Timer::fired(int, short, void* self)
{
    // The callback may destroy this timer, so a copy of it is called.
    auto callback = static_cast<Timer*>(self)->m_callback;
    callback();
}

EventLoop::EventLoop()
    : m_base(event_base_new())
{
    m_soon_event = event_new(
        m_base, -1, 0, [](int, short, void* self) { static_cast<EventLoop*>(self)->run_soon(); }, this);
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
    m_soon.clear();
    event_free(m_soon_event);
    if (m_terminate)
        event_free(m_terminate);
    if (m_interrupt)
        event_free(m_interrupt);
    if (m_hangup)
        event_free(m_hangup);
    event_base_free(m_base);
}

std::unique_ptr<Timer> EventLoop::make_timer(Duration duration, short flags, std::function<void()> callback)
{
    std::unique_ptr<Timer> timer(new Timer);
    timer->m_callback = std::move(callback);
    timer->m_event = event_new(m_base, -1, flags, Timer::fired, timer.get());
    auto interval = to_timeval(duration);
    event_add(timer->m_event, &interval);
    return timer;
}

std::unique_ptr<Timer> EventLoop::every(Duration duration, std::function<void()> callback)
{
    return make_timer(duration, EV_PERSIST, std::move(callback));
}

std::unique_ptr<Timer> EventLoop::after(Duration duration, std::function<void()> callback)
{
    return make_timer(duration, 0, std::move(callback));
}

void EventLoop::soon(std::function<void()> callback)
{
    m_soon.push_back(std::move(callback));
    if (m_soon.size() == 1)
        event_active(m_soon_event, EV_TIMEOUT, 0);
}

void EventLoop::run_soon()
{
    // Callbacks that these callbacks add run in the next iteration.
    auto const due = std::exchange(m_soon, {});
    for (auto const& callback : due)
        callback();
}

void EventLoop::on_stop_signal(std::function<void()> callback)
{
    m_on_stop = std::move(callback);
    auto handle = [](int, short, void* self) { static_cast<EventLoop*>(self)->m_on_stop(); };
    m_terminate = evsignal_new(m_base, SIGTERM, handle, this);
    m_interrupt = evsignal_new(m_base, SIGINT, handle, this);
    event_add(m_terminate, nullptr);
    event_add(m_interrupt, nullptr);
}

void EventLoop::on_reload_signal(std::function<void()> callback)
{
    m_on_reload = std::move(callback);
    auto handle = [](int, short, void* self) { static_cast<EventLoop*>(self)->m_on_reload(); };
    m_hangup = evsignal_new(m_base, SIGHUP, handle, this);
    event_add(m_hangup, nullptr);
}

void EventLoop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base);
}

}
