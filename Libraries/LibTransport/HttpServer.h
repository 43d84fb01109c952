// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibCore/EventLoop.h>
#include <LibTransport/MessageHead.h>
#include <LibTransport/RateLimit.h>
#include <LibTransport/RequestTarget.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace Transport {

/// One request to a server of ours and the answer to it, whole or streamed.
class HttpExchange {
public:
    ~HttpExchange();
    HttpExchange(HttpExchange const&) = delete;
    HttpExchange& operator=(HttpExchange const&) = delete;

    std::string const& method() const { return m_method; }
    /// Path without the query.
    std::string const& path() const { return m_parsed_target.path; }
    /// Path and query as sent.
    std::string const& target() const { return m_target; }
    std::optional<std::string> query(std::string const& key) const { return m_parsed_target.query_value(key); }
    std::optional<std::string> header(char const* name) const;
    HttpHeaders headers() const;
    std::string body() const;

    /// Sends a whole answer.
    void reply(int status, HttpHeaders const&, std::string_view body);
    /// Sends a whole answer without copying it.
    void reply_shared(int status, HttpHeaders const&, std::shared_ptr<std::string const> body);

    /// Streams an answer: start, any number of parts, then end or abort.
    void start(int status, HttpHeaders const&);
    void part(std::string_view data);
    void end();
    /// Breaks the connection, so that the peer cannot take what it got for a whole answer.
    void abort();

    /// Called once if the peer goes away before the answer ends.
    void on_gone(std::function<void()> callback) { m_on_gone = std::move(callback); }

    bool is_over() const { return m_request == nullptr; }
    bool has_started() const { return m_has_started; }
    /// Bytes that the peer has not read yet.
    size_t pending_bytes() const;
    void limit(RateLimit&);

private:
    friend class HttpServer;
    explicit HttpExchange(evhttp_request*);

    static void connection_closed(evhttp_connection*, void* self);
    void add_headers(HttpHeaders const&);
    evhttp_request* release();

    evhttp_request* m_request { nullptr };
    std::string m_method;
    std::string m_target;
    RequestTarget m_parsed_target;
    std::function<void()> m_on_gone;
    bool m_has_started { false };
};

struct HttpServerOptions {
    size_t max_header_bytes { 64 * 1024 };
    size_t max_body_bytes { 64 * 1024 * 1024 };
    /// How long a silent connection is kept.
    Core::Duration idle_timeout { 120000 };
    /// How long an answer may wait for its peer to take any of it, if that is bounded: the connection may be dead.
    std::optional<Core::Duration> send_patience;
};

/// An evhttp server that hands each request to one handler.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /// @return AddressInUse if the port cannot be bound.
    static Core::ErrorOr<std::unique_ptr<HttpServer>> create(Core::EventLoop&, std::string const& address, uint16_t port, HttpServerOptions, Handler);
    ~HttpServer();

    uint16_t port() const { return m_port; }

    /// From now on each answer says that its connection ends.
    void end_connections_gently() { m_is_ending = true; }
    /// Closes the listener, unless a connection waits to be accepted: the system would reset it. Then it stays open, and the
    /// caller asks again after a turn of the loop, in which the connection is accepted.
    /// @return whether the listener is closed.
    bool stop_listening();

private:
    HttpServer() = default;
    void bound_sending(evhttp_request*) const;

    evhttp* m_server { nullptr };
    // Null once it is closed.
    evhttp_bound_socket* m_listener { nullptr };
    bool m_is_ending { false };
    uint16_t m_port { 0 };
    HttpServerOptions m_options;
    Handler m_handler;
};

}
