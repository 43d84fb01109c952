// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibCore/EventLoop.h>
#include <LibTransport/MessageReader.h>
#include <LibTransport/RequestTarget.h>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace Transport {

class IngressConnection;

/// How the end of an answer's body is told (RFC 9112, section 6.3).
enum class BodyFraming {
    /// There is no body, whatever length the head tells.
    None,
    Length,
    Chunks,
    EndOfConnection,
};

/// One caller's request, read whole, and the answer to it, whole or streamed.
class IngressRequest {
public:
    IngressRequest(std::weak_ptr<IngressConnection>, MessageHead, std::string body);
    ~IngressRequest();
    IngressRequest(IngressRequest const&) = delete;
    IngressRequest& operator=(IngressRequest const&) = delete;

    MessageHead const& head() const { return m_head; }
    std::string const& method() const { return m_head.method; }
    /// Path and query as sent.
    std::string const& target() const { return m_head.target; }
    RequestTarget parsed_target() const { return RequestTarget::parse(m_head.target); }
    std::optional<std::string> header(std::string_view name) const;
    std::string const& body() const { return m_body; }
    /// How many requests this one is on its connection, counted from 1.
    uint64_t number_on_connection() const { return m_number_on_connection; }
    /// When the first byte of the request was read, or when the answer before it ended if that was later.
    Core::Time began() const { return m_began; }

    /// Sends a whole answer.
    void reply(int status, HttpHeaders const&, std::string_view body);

    /// Streams an answer: start, any number of parts, then end or abort. Without a length it goes out in chunks, or up to the
    /// end of the connection where the caller does not know them. The answer to a HEAD request has no parts.
    void start(int status, HttpHeaders const&, std::optional<uint64_t> length);
    void part(std::string_view);
    void end();
    /// Resets the connection, so that the caller cannot take what it got for a whole answer.
    void abort();

    /// Called once if the caller goes away before the answer ends.
    void on_gone(std::function<void()> callback) { m_on_gone = std::move(callback); }

    bool has_started() const { return m_has_started; }
    bool is_over() const { return m_is_over; }
    /// Bytes that the caller has not read yet.
    size_t pending_bytes() const;

private:
    friend class IngressConnection;
    void caller_gone();

    std::weak_ptr<IngressConnection> m_connection;
    MessageHead m_head;
    std::string m_body;
    uint64_t m_number_on_connection { 0 };
    Core::Time m_began { 0 };
    std::function<void()> m_on_gone;
    bool m_has_started { false };
    bool m_is_over { false };
    BodyFraming m_framing { BodyFraming::None };
};

/// What callers may send, and how long they may take.
struct IngressLimits {
    size_t max_head_bytes { 16384 };
    size_t max_body_bytes { size_t { 4 } << 20 };
    Core::Duration head_timeout { 3000 };
    Core::Duration idle_timeout { 15000 };
    /// The caller's machine takes what comes even where the caller only waits. An answer of which nothing is taken for so long
    /// gets through to nobody, and its work at a backend server ends with its connection.
    Core::Duration untaken_answer_limit { 5000 };
    /// Most bytes that requests and untaken answers of all connections together may take. Three requests of the largest size always fit.
    size_t max_memory_bytes { size_t { 80 } << 20 };
    /// Most connections, and at most three quarters of the descriptors that the process may have.
    size_t max_connections { 3000 };
};

/// Why a connection's bytes were refused before they made a request.
enum class IngressFault {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    HeadTimeout,
    /// The server ends before the request is whole. It has not run.
    Stopping,
    /// The requests of all callers together take too much memory or too many connections. It has not run.
    Overloaded,
};

/// What a fault is answered with, beside its status.
struct FaultAnswer {
    HttpHeaders headers;
    std::string body;
};

/// Serves callers over HTTP/1.1, one request after another on a connection.
///
/// evhttp is not used here: it takes a request with two lengths and resolves the question by itself.
///
/// Callers may send whatever they like: what all of them together can take in memory and descriptors is limited. When a limit is
/// exceeded, the connections give way whose requests began first: unfinished requests are refused, requests behind one that is in hand are
/// dropped unread, and answers that nobody takes are broken off. A whole request is never refused for the memory. Callers inside the limits
/// end their requests long before those that stop in the middle.
class IngressServer {
public:
    using Handler = std::function<void(std::shared_ptr<IngressRequest>)>;
    /// Returns the answer to a fault; the head is empty if it was not read whole.
    using FaultHandler = std::function<FaultAnswer(IngressFault, MessageHead const&)>;

    /// @return AddressInUse if the port cannot be bound.
    static Core::ErrorOr<std::unique_ptr<IngressServer>> create(Core::EventLoop&, std::string const& address, uint16_t port, Handler, FaultHandler);
    ~IngressServer();

    void set_limits(IngressLimits const& limits) { m_limits = limits; }
    IngressLimits const& limits() const { return m_limits; }
    uint16_t port() const;

    /// From now on each answer says that its connection ends.
    void end_connections_gently() { m_is_ending = true; }
    /// Takes no new connections but those that stand already, and closes those that are at rest. A connection that has only
    /// just come may still bring its first request, and one that was answered a moment ago its next.
    void stop_accepting();
    /// The process is about to end: refuses the requests that are not whole yet, and closes the connections at rest. The owner answers
    /// those in hand.
    void refuse_unread();
    bool is_ending() const { return m_is_ending; }
    bool has_stopped_accepting() const { return m_has_stopped_accepting; }
    /// Nobody can connect any more, and every connection has ended.
    bool has_finished() const { return m_listener == nullptr && m_connections.empty(); }

    size_t connection_count() const { return m_connections.size(); }
    /// Bytes that requests and untaken answers take.
    size_t memory_bytes() const { return m_memory_bytes; }
    /// Number of connections that gave way because a limit on all of them together was exceeded.
    uint64_t given_way_count() const { return m_given_way; }

private:
    friend class IngressConnection;
    IngressServer() = default;
    void accept(int socket);
    void accept_waiting();
    void stop_listening();
    void look_for_idle();
    /// Lets connections give way until the limit on memory is kept, or none is left that may. Not to be called while a request is being
    /// handled: its caller may be the one that gives way.
    void enforce_memory_limit();
    /// Lets one connection give way if there are as many as are allowed. @return false if none may.
    bool make_room_for_connection();
    /// Of the connections that may give way, the one whose request began first, or that has been at rest for longest; null if there is none.
    std::shared_ptr<IngressConnection> oldest_that(bool (IngressConnection::*may_give_way)() const) const;
    size_t memory_limit() const;
    void on_accept_failed();

    Core::EventLoop* m_loop { nullptr };
    // Null once it is closed.
    evconnlistener* m_listener { nullptr };
    Handler m_handler;
    FaultHandler m_fault_handler;
    IngressLimits m_limits;
    bool m_is_ending { false };
    bool m_has_stopped_accepting { false };
    std::set<std::shared_ptr<IngressConnection>> m_connections;
    size_t m_memory_bytes { 0 };
    uint64_t m_given_way { 0 };
    size_t m_descriptor_limit { 0 };
    std::unique_ptr<Core::Timer> m_idle_timer;
    std::unique_ptr<Core::Timer> m_listener_timer;
    std::unique_ptr<Core::Timer> m_accept_timer;
};

/// One caller's connection; see IngressServer.
class IngressConnection : public std::enable_shared_from_this<IngressConnection> {
public:
    IngressConnection(Core::EventLoop&, IngressServer&, int socket);
    ~IngressConnection();
    IngressConnection(IngressConnection const&) = delete;
    IngressConnection& operator=(IngressConnection const&) = delete;

private:
    friend class IngressRequest;
    friend class IngressServer;

    void on_bytes();
    /// Feeds what has arrived to the reader, up to the end of a request.
    void read_input();
    void on_lost();
    void on_request();
    void refuse(IngressFault);
    void write(std::string_view);
    void write_head(int status, HttpHeaders const&, std::optional<uint64_t> length, BodyFraming);
    void answered();
    void close_when_written();
    void reset();
    void drop();
    bool is_at_rest() const;
    bool may_end_at_rest(Core::Time now) const;
    /// Bytes that this connection takes for requests and answers. A whole request counts twice: its body is copied to send it on.
    size_t memory_bytes() const;
    /// Brings the server's total up to date.
    void update_memory();
    bool has_memory_to_free() const;
    /// Whether no request is in hand.
    bool may_be_closed() const { return !m_has_request; }
    void give_way();
    void look_at_time(Core::Time now);

    Core::EventLoop& m_loop;
    // Null once the server is gone.
    IngressServer* m_server;
    bufferevent* m_stream { nullptr };
    MessageReader m_reader;
    MessageHead m_head;
    std::string m_body;
    std::weak_ptr<IngressRequest> m_request;
    bool m_has_request { false };
    uint64_t m_requests_read { 0 };
    bool m_closes { false };
    bool m_is_closing { false };
    Core::Time m_quiet_since;
    // When bytes last arrived or were taken.
    Core::Time m_moved_at;
    // What the server's total contains of this connection.
    size_t m_counted_bytes { 0 };
};

/// The reason phrase of a status, as RFC 9110 names it.
char const* reason_phrase(int status);

}
