// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/HttpServer.h>

#include <LibTransport/SocketAddress.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace Transport {

static char const* method_name(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

HttpExchange::HttpExchange(evhttp_request* request)
    : m_request(request)
    , m_method(method_name(evhttp_request_get_command(request)))
    , m_target(evhttp_request_get_uri(request))
    , m_parsed_target(RequestTarget::parse(m_target))
{
    auto* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, connection_closed, this);
    // Without reading, a caller that goes away would only be noticed once the answer is written.
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
}

HttpExchange::~HttpExchange()
{
    if (m_request)
        abort();
}

void HttpExchange::connection_closed(evhttp_connection*, void* argument)
{
    auto* self = static_cast<HttpExchange*>(argument);
    if (!self->m_request)
        return;
    auto* request = std::exchange(self->m_request, nullptr);
    // Where the caller is gone libevent has set the request free of its connection and leaves it to us; where the server ends,
    // it still belongs to the connection and is freed with it.
    if (!evhttp_request_get_connection(request))
        evhttp_request_free(request);
    if (self->m_on_gone) {
        auto callback = std::exchange(self->m_on_gone, nullptr);
        callback();
    }
}

std::optional<std::string> HttpExchange::header(char const* name) const
{
    if (!m_request)
        return {};
    char const* value = evhttp_find_header(evhttp_request_get_input_headers(m_request), name);
    if (!value)
        return {};
    return value;
}

HttpHeaders HttpExchange::headers() const
{
    HttpHeaders headers;
    if (!m_request)
        return headers;
    auto* fields = evhttp_request_get_input_headers(m_request);
    for (auto* field = fields->tqh_first; field; field = field->next.tqe_next)
        headers.emplace_back(field->key, field->value);
    return headers;
}

std::string HttpExchange::body() const
{
    if (!m_request)
        return {};
    auto* buffer = evhttp_request_get_input_buffer(m_request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

void HttpExchange::add_headers(HttpHeaders const& headers)
{
    auto* fields = evhttp_request_get_output_headers(m_request);
    for (auto const& [name, value] : headers)
        evhttp_add_header(fields, name.c_str(), value.c_str());
}

evhttp_request* HttpExchange::release()
{
    m_on_gone = nullptr;
    if (auto* connection = evhttp_request_get_connection(m_request))
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    return std::exchange(m_request, nullptr);
}

void HttpExchange::reply(int status, HttpHeaders const& headers, std::string_view body)
{
    if (!m_request)
        return;
    add_headers(headers);
    m_has_started = true;
    auto* request = release();
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void HttpExchange::reply_shared(int status, HttpHeaders const& headers, std::shared_ptr<std::string const> body)
{
    if (!m_request)
        return;
    add_headers(headers);
    m_has_started = true;
    auto* request = release();
    auto* buffer = evbuffer_new();
    auto* owner = new std::shared_ptr<std::string const>(std::move(body));
    auto drop = [](void const*, size_t, void* argument) { delete static_cast<std::shared_ptr<std::string const>*>(argument); };
    evbuffer_add_reference(buffer, (*owner)->data(), (*owner)->size(), drop, owner);
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void HttpExchange::start(int status, HttpHeaders const& headers)
{
    if (!m_request)
        return;
    add_headers(headers);
    m_has_started = true;
    evhttp_send_reply_start(m_request, status, nullptr);
}

void HttpExchange::part(std::string_view data)
{
    if (!m_request || data.empty())
        return;
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk(m_request, buffer);
    evbuffer_free(buffer);
}

void HttpExchange::end()
{
    if (!m_request)
        return;
    evhttp_send_reply_end(release());
}

void HttpExchange::abort()
{
    if (!m_request)
        return;
    auto* connection = evhttp_request_get_connection(m_request);
    auto* request = release();
    if (!connection) {
        evhttp_request_free(request);
        return;
    }
    // A reset instead of an ordinary close: an answer that ends with the connection must not look whole.
    linger hard { .l_onoff = 1, .l_linger = 0 };
    auto socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    evhttp_connection_free(connection);
}

size_t HttpExchange::pending_bytes() const
{
    if (!m_request)
        return 0;
    auto* connection = evhttp_request_get_connection(m_request);
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}

void HttpExchange::limit(RateLimit& rate_limit)
{
    if (!m_request)
        return;
    rate_limit.add(evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request)));
}

Core::ErrorOr<std::unique_ptr<HttpServer>> HttpServer::create(Core::EventLoop& loop, std::string const& address, uint16_t port, HttpServerOptions options, Handler handler)
{
    std::unique_ptr<HttpServer> server(new HttpServer);
    server->m_handler = std::move(handler);
    server->m_options = options;
    server->m_server = evhttp_new(loop.base());
    evhttp_set_allowed_methods(server->m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    evhttp_set_max_headers_size(server->m_server, static_cast<ssize_t>(options.max_header_bytes));
    evhttp_set_max_body_size(server->m_server, static_cast<ssize_t>(options.max_body_bytes));
    evhttp_set_timeout(server->m_server, static_cast<int>(options.idle_timeout.count() / 1000));
    evhttp_set_default_content_type(server->m_server, nullptr);
    auto on_request = [](evhttp_request* request, void* self) {
        auto* server = static_cast<HttpServer*>(self);
        server->bound_sending(request);
        if (server->m_is_ending)
            evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
        std::shared_ptr<HttpExchange> exchange(new HttpExchange(request));
        server->m_handler(std::move(exchange));
    };
    evhttp_set_gencb(server->m_server, on_request, server.get());
    server->m_listener = evhttp_bind_socket_with_handle(server->m_server, address.c_str(), port);
    if (!server->m_listener)
        return Core::failure(Core::ErrorCode::AddressInUse, address + ":" + std::to_string(port));
    server->m_port = local_port(evhttp_bound_socket_get_fd(server->m_listener));
    return server;
}

bool HttpServer::stop_listening()
{
    if (!m_listener)
        return true;
    if (has_unread(evhttp_bound_socket_get_fd(m_listener)))
        return false;
    evhttp_del_accept_socket(m_server, std::exchange(m_listener, nullptr));
    return true;
}

void HttpServer::bound_sending(evhttp_request* request) const
{
    if (!m_options.send_patience)
        return;
    auto const idle = Core::to_timeval(m_options.idle_timeout);
    auto const patience = Core::to_timeval(*m_options.send_patience);
    bufferevent_set_timeouts(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)), &idle, &patience);
}

HttpServer::~HttpServer()
{
    if (m_server)
        evhttp_free(m_server);
}

}
