// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/IngressServer.h>

#include <LibCore/Log.h>
#include <LibTransport/SocketAddress.h>
#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <limits>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace Transport {

static constexpr Core::Duration idle_check_interval { 250 };
static constexpr int status_bad_request = 400;
static constexpr int status_request_timeout = 408;
static constexpr int status_body_too_large = 413;
static constexpr int status_head_too_large = 431;
static constexpr int status_unavailable = 503;
static constexpr int status_no_content = 204;
static constexpr int status_not_modified = 304;
static constexpr int listen_backlog = 512;
// A caller sends its first request right behind its connection, and many send the next one right behind an answer, but the caller may be
// short of processor time, or the packet be lost (sent again after 200 ms to 1 s). A server that stops waits no longer for callers that
// only hold a connection ready.
static constexpr Core::Duration request_patience { 2000 };
// Handshakes that were under way as a listener stopped are over by then.
static constexpr Core::Duration handshake_patience { 50 };

// How much of the input is handed to the reader at once, which copies it.
static constexpr size_t read_slice_bytes = size_t { 64 } << 10;
static constexpr size_t least_requests_in_memory = 3;
// A connection that holds less does not give way for the memory.
static constexpr size_t least_freed_bytes = 4096;
// A caller that has taken nothing of its answer for so long may lose it if memory is short.
static constexpr Core::Duration untaken_patience { 1000 };
// Connections that callers may have of the process's descriptors; the others are for backend servers, links and the store.
static constexpr size_t descriptor_numerator = 3;
static constexpr size_t descriptor_denominator = 4;
// Without a descriptor left, each further look at the listener would fail as well.
static constexpr Core::Duration accept_pause { 100 };

char const* reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return status < 400 ? "OK" : "Error";
    }
}

IngressRequest::IngressRequest(std::weak_ptr<IngressConnection> connection, MessageHead head, std::string body)
    : m_connection(std::move(connection))
    , m_head(std::move(head))
    , m_body(std::move(body))
{
}

IngressRequest::~IngressRequest()
{
    m_on_gone = nullptr;
    if (!m_is_over)
        abort();
}

std::optional<std::string> IngressRequest::header(std::string_view name) const
{
    auto const value = m_head.header(name);
    if (!value)
        return {};
    return std::string(*value);
}

void IngressRequest::caller_gone()
{
    m_is_over = true;
    if (auto callback = std::exchange(m_on_gone, nullptr))
        callback();
}

void IngressRequest::reply(int status, HttpHeaders const& headers, std::string_view body)
{
    start(status, headers, body.size());
    part(body);
    end();
}

static BodyFraming framing_of_answer(MessageHead const& request, int status, std::optional<uint64_t> const& length)
{
    bool const has_body = request.method != "HEAD" && status != status_no_content && status != status_not_modified;
    if (!has_body)
        return BodyFraming::None;
    if (length)
        return BodyFraming::Length;
    return request.knows_chunks ? BodyFraming::Chunks : BodyFraming::EndOfConnection;
}

void IngressRequest::start(int status, HttpHeaders const& headers, std::optional<uint64_t> length)
{
    auto connection = m_connection.lock();
    if (m_is_over || !connection)
        return;
    m_has_started = true;
    m_framing = framing_of_answer(m_head, status, length);
    connection->write_head(status, headers, length, m_framing);
}

void IngressRequest::part(std::string_view data)
{
    auto connection = m_connection.lock();
    if (m_is_over || !connection || data.empty() || m_framing == BodyFraming::None)
        return;
    if (m_framing != BodyFraming::Chunks) {
        connection->write(data);
        return;
    }
    char size[20];
    auto const end = std::to_chars(size, size + sizeof(size), data.size(), 16).ptr;
    std::string chunk(size, end);
    chunk.reserve(chunk.size() + data.size() + 4);
    chunk += "\r\n";
    chunk += data;
    chunk += "\r\n";
    connection->write(chunk);
}

void IngressRequest::end()
{
    auto connection = m_connection.lock();
    if (m_is_over || !connection)
        return;
    m_is_over = true;
    m_on_gone = nullptr;
    if (m_framing == BodyFraming::Chunks)
        connection->write("0\r\n\r\n");
    connection->answered();
}

void IngressRequest::abort()
{
    auto connection = m_connection.lock();
    if (m_is_over)
        return;
    m_is_over = true;
    m_on_gone = nullptr;
    if (connection)
        connection->reset();
}

size_t IngressRequest::pending_bytes() const
{
    auto connection = m_connection.lock();
    if (!connection || !connection->m_stream)
        return 0;
    return evbuffer_get_length(bufferevent_get_output(connection->m_stream));
}

IngressConnection::IngressConnection(Core::EventLoop& loop, IngressServer& server, int socket)
    : m_loop(loop)
    , m_server(&server)
    , m_reader(MessageReader::Kind::Request, server.limits().max_head_bytes,
          { .head = [this](MessageHead const& head) {
               m_head = head;
               // Only what has been written to is resident, and a string that grows is copied.
               if (head.content_length && *head.content_length <= m_server->limits().max_body_bytes)
                   m_body.reserve(static_cast<size_t>(*head.content_length)); },
              .data = [this](std::string_view data) {
                  if (m_body.size() <= m_server->limits().max_body_bytes)
                      m_body.append(data); },
              .done = [this] { on_request(); } })
    , m_quiet_since(Core::monotonic_now())
    , m_moved_at(m_quiet_since)
{
    int const on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto const limit = static_cast<unsigned>(server.limits().untaken_answer_limit.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    m_stream = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    auto on_read = [](bufferevent*, void* self) { static_cast<IngressConnection*>(self)->on_bytes(); };
    auto on_event = [](bufferevent*, short, void* self) { static_cast<IngressConnection*>(self)->on_lost(); };
    auto on_written = [](bufferevent*, void* self) {
        auto* connection = static_cast<IngressConnection*>(self);
        connection->m_moved_at = Core::monotonic_now();
        if (connection->m_is_closing)
            connection->drop();
        else
            connection->update_memory();
    };
    bufferevent_setcb(m_stream, on_read, on_written, on_event, this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

IngressConnection::~IngressConnection()
{
    if (m_stream)
        bufferevent_free(m_stream);
}

void IngressConnection::on_bytes()
{
    auto keep = shared_from_this();
    m_moved_at = Core::monotonic_now();
    auto* input = bufferevent_get_input(m_stream);
    auto const size = evbuffer_get_length(input);
    if (m_is_closing) {
        evbuffer_drain(input, size);
        return;
    }
    if (m_has_request && m_closes) {
        // No answer will be followed by another one.
        evbuffer_drain(input, size);
        return;
    }
    if (m_has_request) {
        // What comes behind the request in hand waits in the buffer until that is answered.
        bool const is_more_than_one = size > m_server->limits().max_head_bytes + m_server->limits().max_body_bytes;
        if (is_more_than_one) {
            evbuffer_drain(input, size);
            m_closes = true;
        }
        update_memory();
        if (m_server)
            m_server->enforce_memory_limit();
        return;
    }
    read_input();
    update_memory();
    if (m_server)
        m_server->enforce_memory_limit();
}

void IngressConnection::read_input()
{
    auto const& limits = m_server->limits();
    bool is_first = true;
    // The reader may hold a request behind the last one when nothing more has arrived.
    while (m_stream && !m_has_request && !m_is_closing && (is_first || evbuffer_get_length(bufferevent_get_input(m_stream)) > 0)) {
        is_first = false;
        auto* input = bufferevent_get_input(m_stream);
        std::string bytes(std::min(evbuffer_get_length(input), read_slice_bytes), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        if (m_reader.is_between_messages())
            m_quiet_since = Core::monotonic_now();
        auto const fed = m_reader.feed(bytes);
        if (!fed.has_value()) {
            refuse(fed.error() == MessageFault::HeadTooLarge ? IngressFault::HeadTooLarge : IngressFault::Malformed);
            return;
        }
        bool const is_announced_too_large = !m_has_request && m_head.content_length.value_or(0) > limits.max_body_bytes;
        if (!m_is_closing && (m_body.size() > limits.max_body_bytes || is_announced_too_large))
            refuse(IngressFault::BodyTooLarge);
    }
}

// Limits on all connections together.

size_t IngressConnection::memory_bytes() const
{
    size_t bytes = m_body.size() + m_reader.held_bytes();
    if (m_stream)
        bytes += evbuffer_get_length(bufferevent_get_input(m_stream)) + evbuffer_get_length(bufferevent_get_output(m_stream));
    if (auto const request = m_request.lock(); request && !request->is_over())
        bytes += 2 * request->body().size();
    return bytes;
}

void IngressConnection::update_memory()
{
    if (!m_server)
        return;
    auto const bytes = m_stream ? memory_bytes() : 0;
    m_server->m_memory_bytes += bytes - std::exchange(m_counted_bytes, bytes);
}

bool IngressConnection::has_memory_to_free() const
{
    if (!m_stream)
        return false;
    auto const unread = evbuffer_get_length(bufferevent_get_input(m_stream));
    bool const is_unfinished = !m_has_request && !m_is_closing && !m_reader.is_between_messages();
    if (is_unfinished && m_body.size() + m_reader.held_bytes() + unread >= least_freed_bytes)
        return true;
    if (m_has_request && unread >= least_freed_bytes)
        return true;
    // An answer that was written a moment ago is on its way out.
    bool const has_untaken = evbuffer_get_length(bufferevent_get_output(m_stream)) >= least_freed_bytes;
    return has_untaken && Core::monotonic_now() - m_moved_at >= untaken_patience;
}

void IngressConnection::give_way()
{
    auto keep = shared_from_this();
    if (m_is_closing) {
        drop();
        return;
    }
    if (!m_has_request) {
        if (m_reader.is_between_messages())
            drop();
        else
            refuse(IngressFault::Overloaded);
        return;
    }
    auto* input = bufferevent_get_input(m_stream);
    if (evbuffer_get_length(input) > 0) {
        // The requests behind the one in hand are not read, and its answer tells that the connection ends.
        evbuffer_drain(input, evbuffer_get_length(input));
        m_closes = true;
        update_memory();
        return;
    }
    linger hard { .l_onoff = 1, .l_linger = 0 };
    setsockopt(bufferevent_getfd(m_stream), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    on_lost();
}

size_t IngressServer::memory_limit() const
{
    return std::max(m_limits.max_memory_bytes, least_requests_in_memory * (m_limits.max_head_bytes + m_limits.max_body_bytes));
}

std::shared_ptr<IngressConnection> IngressServer::oldest_that(bool (IngressConnection::*may_give_way)() const) const
{
    std::shared_ptr<IngressConnection> found;
    for (auto const& connection : m_connections) {
        bool const is_better = !found || connection->m_quiet_since < found->m_quiet_since;
        if (is_better && (connection.get()->*may_give_way)())
            found = connection;
    }
    return found;
}

void IngressServer::enforce_memory_limit()
{
    while (m_memory_bytes > memory_limit()) {
        auto const before = m_memory_bytes;
        auto const connection = oldest_that(&IngressConnection::has_memory_to_free);
        if (!connection)
            break;
        m_given_way += 1;
        connection->give_way();
        connection->update_memory();
        if (m_memory_bytes >= before)
            break;
    }
}

bool IngressServer::make_room_for_connection()
{
    auto const limit = std::min(m_limits.max_connections, m_descriptor_limit);
    if (m_connections.size() < limit)
        return true;
    auto const connection = oldest_that(&IngressConnection::may_be_closed);
    if (!connection)
        return false;
    m_given_way += 1;
    connection->give_way();
    return true;
}

void IngressServer::on_accept_failed()
{
    Core::log_event(Core::LogLevel::Warn, "accept_failed", { { "error", std::strerror(EVUTIL_SOCKET_ERROR()) }, { "connections", std::to_string(m_connections.size()) } });
    evconnlistener_disable(m_listener);
    m_accept_timer = m_loop->after(accept_pause, [this] {
        if (m_listener && !m_has_stopped_accepting)
            evconnlistener_enable(m_listener);
    });
}

void IngressConnection::on_request()
{
    m_has_request = true;
    m_requests_read += 1;
    m_closes = !m_head.keeps_connection;
    auto request = std::make_shared<IngressRequest>(weak_from_this(), std::exchange(m_head, {}), std::exchange(m_body, {}));
    request->m_number_on_connection = m_requests_read;
    request->m_began = m_quiet_since;
    m_request = request;
    m_server->m_handler(std::move(request));
}

void IngressConnection::refuse(IngressFault fault)
{
    auto status = status_bad_request;
    if (fault == IngressFault::HeadTooLarge)
        status = status_head_too_large;
    else if (fault == IngressFault::BodyTooLarge)
        status = status_body_too_large;
    else if (fault == IngressFault::HeadTimeout)
        status = status_request_timeout;
    else if (fault == IngressFault::Stopping || fault == IngressFault::Overloaded)
        status = status_unavailable;
    auto const answer = m_server->m_fault_handler(fault, m_head);
    std::string().swap(m_body);
    m_closes = true;
    write_head(status, answer.headers, answer.body.size(), BodyFraming::Length);
    write(answer.body);
    close_when_written();
}

void IngressConnection::write(std::string_view data)
{
    if (!m_stream)
        return;
    bufferevent_write(m_stream, data.data(), data.size());
    update_memory();
}

void IngressConnection::write_head(int status, HttpHeaders const& headers, std::optional<uint64_t> length, BodyFraming framing)
{
    bool const is_last = framing == BodyFraming::EndOfConnection || (m_server && m_server->is_ending());
    if (is_last)
        m_closes = true;
    std::string head = "HTTP/1.1 " + std::to_string(status) + ' ' + reason_phrase(status) + "\r\n";
    for (auto const& [name, value] : headers) {
        head += name;
        head += ": ";
        head += value;
        head += "\r\n";
    }
    bool const may_tell_length = status != status_no_content && status != status_not_modified;
    if (framing == BodyFraming::Chunks)
        head += "Transfer-Encoding: chunked\r\n";
    else if (length && may_tell_length)
        head += "Content-Length: " + std::to_string(*length) + "\r\n";
    if (m_closes)
        head += "Connection: close\r\n";
    head += "\r\n";
    write(head);
}

void IngressConnection::answered()
{
    m_has_request = false;
    m_quiet_since = Core::monotonic_now();
    if (m_closes) {
        close_when_written();
        return;
    }
    // The next request may lie in the reader or the buffer already; it must not start inside this one's callback.
    m_loop.soon([weak = weak_from_this()] {
        if (auto self = weak.lock(); self && self->m_stream && self->m_server)
            self->on_bytes();
    });
}

void IngressConnection::close_when_written()
{
    m_is_closing = true;
    m_quiet_since = Core::monotonic_now();
    if (m_stream && evbuffer_get_length(bufferevent_get_output(m_stream)) == 0)
        m_loop.soon([weak = weak_from_this()] {
            if (auto self = weak.lock())
                self->drop();
        });
}

void IngressConnection::reset()
{
    if (m_stream) {
        linger hard { .l_onoff = 1, .l_linger = 0 };
        setsockopt(bufferevent_getfd(m_stream), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    }
    m_is_closing = true;
    m_loop.soon([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->drop();
    });
}

void IngressConnection::on_lost()
{
    auto keep = shared_from_this();
    auto request = m_request.lock();
    drop();
    if (request && !request->is_over())
        request->caller_gone();
}

void IngressConnection::drop()
{
    auto keep = shared_from_this();
    if (m_stream)
        bufferevent_free(std::exchange(m_stream, nullptr));
    if (!m_server)
        return;
    update_memory();
    m_server->m_connections.erase(keep);
}

/// Whether closing would cut off no request: none is under way, and none has come that nobody has read.
bool IngressConnection::is_at_rest() const
{
    // The end of an answer may still be on its way out.
    if (m_has_request || m_is_closing || !m_reader.is_between_messages())
        return false;
    if (evbuffer_get_length(bufferevent_get_output(m_stream)) > 0 || evbuffer_get_length(bufferevent_get_input(m_stream)) > 0)
        return false;
    return !has_unread(bufferevent_getfd(m_stream));
}

/// Whether besides no request is to be expected: its caller was not told that the connection ends, and could not know whether a request
/// that crosses the close was run.
bool IngressConnection::may_end_at_rest(Core::Time now) const
{
    return is_at_rest() && now - m_quiet_since >= request_patience;
}

void IngressConnection::look_at_time(Core::Time now)
{
    auto const& limits = m_server->limits();
    auto const quiet = now - m_quiet_since;
    if (m_is_closing) {
        // The peer does not read its answer's end. How long a connection may idle says nothing of how fast an answer is taken.
        if (quiet >= std::max(limits.idle_timeout, limits.untaken_answer_limit))
            drop();
        return;
    }
    if (m_has_request)
        return;
    if (m_reader.is_between_messages()) {
        if (quiet >= limits.idle_timeout || (m_server->has_stopped_accepting() && may_end_at_rest(now)))
            drop();
        return;
    }
    auto const patience = m_reader.has_partial_head() ? limits.head_timeout : limits.idle_timeout;
    if (quiet >= patience)
        refuse(IngressFault::HeadTimeout);
}

Core::ErrorOr<std::unique_ptr<IngressServer>> IngressServer::create(Core::EventLoop& loop, std::string const& address, uint16_t port, Handler handler, FaultHandler fault_handler)
{
    std::unique_ptr<IngressServer> server(new IngressServer);
    server->m_loop = &loop;
    server->m_handler = std::move(handler);
    server->m_fault_handler = std::move(fault_handler);
    auto target = socket_address(address, port);
    auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) { static_cast<IngressServer*>(self)->accept(socket); };
    server->m_listener = evconnlistener_new_bind(loop.base(), accepted, server.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listen_backlog, reinterpret_cast<sockaddr const*>(&target), sizeof(target));
    if (!server->m_listener)
        return Core::failure(Core::ErrorCode::AddressInUse, address + ":" + std::to_string(port));
    evconnlistener_set_error_cb(server->m_listener, [](evconnlistener*, void* self) { static_cast<IngressServer*>(self)->on_accept_failed(); });
    rlimit descriptors {};
    bool const is_known = getrlimit(RLIMIT_NOFILE, &descriptors) == 0;
    if (!is_known)
        Core::log_event(Core::LogLevel::Warn, "descriptor_limit_unknown", { { "error", std::strerror(errno) } });
    server->m_descriptor_limit = is_known ? static_cast<size_t>(descriptors.rlim_cur) / descriptor_denominator * descriptor_numerator : std::numeric_limits<size_t>::max();
    server->m_idle_timer = loop.every(idle_check_interval, [raw = server.get()] { raw->look_for_idle(); });
    return server;
}

IngressServer::~IngressServer()
{
    if (m_listener)
        evconnlistener_free(m_listener);
    for (auto const& connection : m_connections)
        connection->m_server = nullptr;
}

uint16_t IngressServer::port() const
{
    return local_port(evconnlistener_get_fd(m_listener));
}

void IngressServer::accept(int socket)
{
    if (!make_room_for_connection()) {
        Core::log_event(Core::LogLevel::Info, "connection_closed_unread", { { "connections", std::to_string(m_connections.size()) } });
        evutil_closesocket(socket);
        return;
    }
    m_connections.insert(std::make_shared<IngressConnection>(*m_loop, *this, socket));
}

void IngressServer::look_for_idle()
{
    auto const now = Core::monotonic_now();
    auto const connections = m_connections;
    for (auto const& connection : connections)
        connection->look_at_time(now);
    // What is written grows without an event of the connection.
    enforce_memory_limit();
}

/// The system resets what waits in a listener's queue as it closes, and to the callers those are open connections.
void IngressServer::accept_waiting()
{
    auto const listener = evconnlistener_get_fd(m_listener);
    for (;;) {
        auto const socket = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            accept(socket);
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED)
            continue;
        if (errno != EAGAIN)
            Core::log_event(Core::LogLevel::Warn, "accept_failed", { { "error", std::strerror(errno) } });
        return;
    }
}

/// A connection that comes between the last look at the listener's queue and its close would be reset, so the listener first takes
/// part in no new handshake, and closes once all that were under way are over.
void IngressServer::stop_listening()
{
    m_has_stopped_accepting = true;
    if (!ignore_new_connections(evconnlistener_get_fd(m_listener)))
        Core::log_event(Core::LogLevel::Warn, "new_connections_not_ignored", { { "error", std::strerror(errno) } });
    accept_waiting();
    m_listener_timer = m_loop->after(handshake_patience, [this] {
        accept_waiting();
        evconnlistener_free(std::exchange(m_listener, nullptr));
    });
}

void IngressServer::stop_accepting()
{
    m_is_ending = true;
    if (!m_has_stopped_accepting)
        stop_listening();
    auto const now = Core::monotonic_now();
    auto const connections = m_connections;
    for (auto const& connection : connections) {
        if (connection->may_end_at_rest(now))
            connection->drop();
    }
}

void IngressServer::refuse_unread()
{
    m_is_ending = true;
    auto const connections = m_connections;
    for (auto const& connection : connections) {
        if (connection->is_at_rest())
            connection->drop();
        else if (!connection->m_has_request && !connection->m_is_closing && !connection->m_reader.is_between_messages())
            connection->refuse(IngressFault::Stopping);
    }
}

}
