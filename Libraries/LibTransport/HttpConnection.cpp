// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/HttpConnection.h>

#include <LibCore/HttpText.h>
#include <LibCore/Log.h>
#include <LibTransport/MalformedAnswers.h>
#include <LibTransport/SocketAddress.h>
#include <LibTransport/StreamEnd.h>
#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace Transport {

// How much of the input is handed to the reader at once, which copies it.
static constexpr size_t read_slice_bytes = size_t { 64 } << 10;
// How much of an answer waits in the process to be handled.
static constexpr size_t read_ahead_bytes = size_t { 128 } << 10;

HttpConnection::HttpConnection(Core::EventLoop& loop)
    : m_loop(loop)
{
}

HttpConnection::~HttpConnection()
{
    if (m_stream)
        bufferevent_free(m_stream);
}

static std::string server_of(HttpCallRequest const& call)
{
    return call.address + ':' + std::to_string(call.port);
}

static bool always_states_length(std::string const& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

static std::string request_bytes(HttpCallRequest const& call, ConnectionUse use)
{
    std::string bytes = call.method + ' ' + call.path + " HTTP/1.1\r\n";
    auto const add = [&](std::string const& name, std::string const& value) {
        if (Core::is_token(name) && Core::is_field_value(value))
            bytes += name + ": " + value + "\r\n";
        else
            Core::log_event(Core::LogLevel::Warn, "field_not_sent", { { "server", server_of(call) } });
    };
    add("Host", server_of(call));
    if (use == ConnectionUse::Once)
        add("Connection", "close");
    for (auto const& [name, value] : call.headers)
        add(name, value);
    if (!call.body.empty() || always_states_length(call.method))
        add("Content-Length", std::to_string(call.body.size()));
    bytes += "\r\n";
    bytes += call.body;
    return bytes;
}

void HttpConnection::send(HttpCallRequest const& request, ConnectionUse use, Callbacks callbacks)
{
    m_request = request;
    m_use = use;
    m_callbacks = std::move(callbacks);
    m_body_bytes = 0;
    m_is_calling = true;
    m_keeps_connection = false;
    m_reader = std::make_unique<MessageReader>(MessageKind::Answer, request.max_head_bytes,
        MessageReader::Callbacks { .head = [this](MessageHead const& head) { on_head(head); }, .data = [this](std::string_view data) { on_data(data); }, .done = [this] { finish(); } });
    if (request.method == "HEAD")
        m_reader->set_body_expectation(BodyExpectation::None);
    if (request.total_timeout)
        m_total_timer = m_loop.after(*request.total_timeout, [this] { fail(HttpFailure::TimedOut); });
    if (m_stream)
        begin_call();
    else
        connect();
}

void HttpConnection::connect()
{
    m_stream = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto const on_read = [](bufferevent*, void* self) { static_cast<HttpConnection*>(self)->on_bytes(); };
    auto const on_drained = [](bufferevent*, void* self) { static_cast<HttpConnection*>(self)->on_written(); };
    auto const on_change = [](bufferevent*, short events, void* self) { static_cast<HttpConnection*>(self)->on_event(events); };
    bufferevent_setcb(m_stream, on_read, on_drained, on_change, this);
    bufferevent_setwatermark(m_stream, EV_READ, 0, read_ahead_bytes);
    if (m_request.limit)
        m_request.limit->add(m_stream);
    auto const timeout = Core::to_timeval(m_request.timeout);
    bufferevent_set_timeouts(m_stream, &timeout, &timeout);
    if (bufferevent_socket_connect_hostname(m_stream, nullptr, AF_UNSPEC, m_request.address.c_str(), m_request.port) != 0)
        fail(HttpFailure::NotConnected);
}

void HttpConnection::begin_call()
{
    auto const timeout = Core::to_timeval(m_request.timeout);
    bufferevent_set_timeouts(m_stream, &timeout, &timeout);
    auto const bytes = request_bytes(m_request, m_use);
    m_request.body = {};
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    bufferevent_write(m_stream, bytes.data(), bytes.size());
}

void HttpConnection::on_written()
{
    if (!m_is_calling)
        return;
    // The silence of the server counts from now on.
    bufferevent_disable(m_stream, EV_READ);
    bufferevent_enable(m_stream, EV_READ);
}

void HttpConnection::on_event(short events)
{
    auto keep = shared_from_this();
    if (events & BEV_EVENT_CONNECTED) {
        m_is_connected = true;
        int const on = 1;
        setsockopt(bufferevent_getfd(m_stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        begin_call();
        return;
    }
    if (!m_is_calling) {
        close_stream();
        return;
    }
    bool const is_sending = evbuffer_get_length(bufferevent_get_output(m_stream)) > 0;
    if ((events & BEV_EVENT_TIMEOUT) && (events & BEV_EVENT_READING) && m_is_connected && is_sending) {
        // The server need not answer before it has the whole request, and the timeout of writing goes on.
        bufferevent_enable(m_stream, EV_READ);
        return;
    }
    if (!m_is_connected)
        fail(HttpFailure::NotConnected);
    else
        fail(events & BEV_EVENT_TIMEOUT ? HttpFailure::TimedOut : HttpFailure::BrokenOff);
}

void HttpConnection::on_bytes()
{
    auto keep = shared_from_this();
    if (!m_is_calling) {
        close_stream();
        return;
    }
    auto* input = bufferevent_get_input(m_stream);
    while (m_is_calling && evbuffer_get_length(input) > 0) {
        std::string bytes(std::min(evbuffer_get_length(input), read_slice_bytes), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        if (auto const fed = m_reader->feed(bytes); !fed.has_value())
            on_fault(fed.error());
    }
}

void HttpConnection::on_head(MessageHead const& head)
{
    m_keeps_connection = head.keeps_connection;
    bool const is_too_long = m_request.method != "HEAD" && m_request.max_body_bytes && head.content_length.value_or(0) > *m_request.max_body_bytes;
    if (is_too_long) {
        fail(HttpFailure::TooLong);
        return;
    }
    if (m_is_calling && m_callbacks.head)
        m_callbacks.head(head);
}

void HttpConnection::on_data(std::string_view data)
{
    m_body_bytes += data.size();
    if (m_request.max_body_bytes && m_body_bytes > *m_request.max_body_bytes) {
        fail(HttpFailure::TooLong);
        return;
    }
    if (m_is_calling && m_callbacks.data)
        m_callbacks.data(data);
}

void HttpConnection::on_fault(MessageFault fault)
{
    if (!m_is_calling)
        return;
    if (fault == MessageFault::Surplus) {
        // The answer is whole. What stands behind it goes with the connection.
        m_keeps_connection = false;
        finish();
        return;
    }
    if (is_size_fault(fault)) {
        fail(HttpFailure::TooLong);
        return;
    }
    MalformedAnswers::report(m_request.address, m_request.port, fault);
    fail(HttpFailure::Malformed);
}

void HttpConnection::finish()
{
    if (!m_is_calling)
        return;
    m_is_calling = false;
    m_total_timer.reset();
    if (m_keeps_connection && m_use == ConnectionUse::Again)
        bufferevent_set_timeouts(m_stream, nullptr, nullptr);
    else
        close_stream();
    m_loop.soon([self = shared_from_this()] {
        auto const done = std::exchange(self->m_callbacks, {}).done;
        if (done && !self->m_is_cancelled)
            done();
    });
}

void HttpConnection::fail(HttpFailure failure)
{
    if (!m_is_calling)
        return;
    m_is_calling = false;
    m_total_timer.reset();
    close_stream();
    if (failure == HttpFailure::TooLong)
        Core::log_event(Core::LogLevel::Warn, "answer_too_long", { { "server", server_of(m_request) }, { "path", m_request.path.substr(0, m_request.path.find('?')) } });
    m_loop.soon([self = shared_from_this(), failure] {
        auto const failed = std::exchange(self->m_callbacks, {}).failed;
        if (failed && !self->m_is_cancelled)
            failed(failure);
    });
}

bool HttpConnection::can_send_again() const
{
    // The owner has not heard of the last answer yet.
    bool const is_reporting = static_cast<bool>(m_callbacks.done);
    if (m_is_closed || m_is_calling || is_reporting || !m_is_connected)
        return false;
    return evbuffer_get_length(bufferevent_get_input(m_stream)) == 0 && !has_unread(bufferevent_getfd(m_stream));
}

void HttpConnection::close()
{
    m_is_calling = false;
    m_is_cancelled = true;
    m_total_timer.reset();
    close_stream();
    // One of the callbacks may be what closes the connection, so they live on until the next turn.
    m_loop.soon([self = shared_from_this()] { self->m_callbacks = {}; });
}

void HttpConnection::close_stream()
{
    m_is_closed = true;
    end_stream(m_loop, m_stream);
}

}
