// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/BackendCall.h>

#include <LibTransport/MalformedAnswers.h>
#include <LibTransport/SocketAddress.h>
#include <LibTransport/StreamEnd.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace Transport {

static constexpr size_t max_answer_head_bytes = 64 * 1024;

/// Lives on until the loop has left its callbacks.
class BackendCall::State : public std::enable_shared_from_this<BackendCall::State> {
public:
    State(Core::EventLoop& loop, BackendCallRequest request, Callbacks callbacks)
        : m_loop(loop)
        , m_request(std::move(request))
        , m_callbacks(std::move(callbacks))
        , m_reader(MessageReader::Kind::Answer, max_answer_head_bytes,
              { .head = [this](MessageHead const& head) {
                   if (!m_is_over && m_callbacks.head)
                       m_callbacks.head(head); },
                  .data = [this](std::string_view data) {
                      if (!m_is_over && m_callbacks.data)
                          m_callbacks.data(data); },
                  .done = [this] { finish(); } })
    {
        m_reader.set_body_expectation(m_request.body_expectation);
    }

    ~State()
    {
        if (m_stream)
            bufferevent_free(m_stream);
    }

    void begin();
    void cancel();

private:
    void on_event(short);
    void on_connected();
    void on_bytes();
    void finish();
    void fail(CallFailure);
    void close();

    Core::EventLoop& m_loop;
    BackendCallRequest m_request;
    Callbacks m_callbacks;
    MessageReader m_reader;
    bufferevent* m_stream { nullptr };
    Core::Time m_began_at { 0 };
    std::unique_ptr<Core::Timer> m_connect_timer;
    bool m_is_connected { false };
    bool m_is_over { false };
    bool m_is_cancelled { false };
};

void BackendCall::State::begin()
{
    m_stream = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto on_read = [](bufferevent*, void* self) { static_cast<State*>(self)->on_bytes(); };
    auto on_change = [](bufferevent*, short events, void* self) { static_cast<State*>(self)->on_event(events); };
    bufferevent_setcb(m_stream, on_read, nullptr, on_change, this);
    auto target = socket_address(m_request.address, m_request.port);
    m_began_at = Core::monotonic_now();
    m_connect_timer = m_loop.after(m_request.connect_timeout, [this] { fail(CallFailure::NotConnected); });
    if (bufferevent_socket_connect(m_stream, reinterpret_cast<sockaddr const*>(&target), sizeof(target)) != 0)
        fail(CallFailure::NotConnected);
}

void BackendCall::State::on_connected()
{
    // After a pause of the process the loop handles the connection before the timer that was to end the wait for it.
    if (Core::monotonic_now() - m_began_at >= m_request.connect_timeout) {
        fail(CallFailure::NotConnected);
        return;
    }
    m_is_connected = true;
    m_connect_timer.reset();
    auto const socket = bufferevent_getfd(m_stream);
    int const on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto const limit = static_cast<unsigned>(m_request.unacknowledged_timeout.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    bufferevent_write(m_stream, m_request.bytes.data(), m_request.bytes.size());
    m_request.bytes = {};
    if (m_callbacks.connected)
        m_callbacks.connected();
}

void BackendCall::State::on_event(short events)
{
    auto keep = shared_from_this();
    if (m_is_over)
        return;
    if (events & BEV_EVENT_CONNECTED) {
        on_connected();
        return;
    }
    if (!m_is_connected) {
        fail(EVUTIL_SOCKET_ERROR() == ECONNREFUSED ? CallFailure::Refused : CallFailure::NotConnected);
        return;
    }
    // Only an orderly close may end an answer that has no length; a reset never does.
    bool const is_orderly = (events & BEV_EVENT_EOF) && !(events & BEV_EVENT_ERROR);
    if (is_orderly && m_reader.finish())
        return;
    fail(CallFailure::BrokenOff);
}

void BackendCall::State::on_bytes()
{
    auto keep = shared_from_this();
    auto* input = bufferevent_get_input(m_stream);
    while (!m_is_over && evbuffer_get_length(input) > 0) {
        auto const size = evbuffer_get_contiguous_space(input);
        std::string bytes(size, '\0');
        evbuffer_remove(input, bytes.data(), size);
        auto const fed = m_reader.feed(bytes);
        if (fed.has_value() || m_is_over)
            continue;
        // Bytes behind a whole answer belong to no request: they go with the connection.
        if (fed.error() == MessageFault::Surplus) {
            finish();
            continue;
        }
        MalformedAnswers::report(m_request.address, m_request.port, fed.error());
        fail(CallFailure::Malformed);
    }
}

void BackendCall::State::finish()
{
    if (m_is_over)
        return;
    m_is_over = true;
    auto callbacks = std::exchange(m_callbacks, {});
    close();
    if (callbacks.done)
        callbacks.done();
}

void BackendCall::State::fail(CallFailure failure)
{
    if (m_is_over)
        return;
    m_is_over = true;
    // The caller of start() must have its object before it hears of the end.
    m_loop.soon([self = shared_from_this(), failure] {
        if (self->m_is_cancelled)
            return;
        auto callbacks = std::exchange(self->m_callbacks, {});
        self->close();
        if (callbacks.failed)
            callbacks.failed(failure);
    });
}

void BackendCall::State::cancel()
{
    if (m_stream && m_is_connected && !m_is_over) {
        // A backend server that stands still must find the request gone, not half closed, when it wakes.
        linger hard { .l_onoff = 1, .l_linger = 0 };
        setsockopt(bufferevent_getfd(m_stream), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    }
    m_is_over = true;
    m_is_cancelled = true;
    close();
    // One of the callbacks may be what dropped the call, so they live on until the next turn.
    m_loop.soon([self = shared_from_this()] { self->m_callbacks = {}; });
}

void BackendCall::State::close()
{
    m_connect_timer.reset();
    end_stream(m_loop, m_stream);
}

BackendCall::BackendCall(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

BackendCall::~BackendCall()
{
    m_state->cancel();
}

std::unique_ptr<BackendCall> BackendCall::start(Core::EventLoop& loop, BackendCallRequest request, Callbacks callbacks)
{
    auto state = std::make_shared<State>(loop, std::move(request), std::move(callbacks));
    state->begin();
    return std::unique_ptr<BackendCall>(new BackendCall(std::move(state)));
}

}
