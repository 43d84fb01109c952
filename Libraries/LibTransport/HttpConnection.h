// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibTransport/MessageReader.h>
#include <LibTransport/RateLimit.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;

namespace Transport {

/// Why a call to another server brought no whole answer.
enum class HttpFailure {
    /// The connection was never made: not one byte of the request was written.
    NotConnected,
    /// Anything later: the server may have acted on the request.
    BrokenOff,
    TimedOut,
    /// The head or the body was longer than the caller allows. The server may have acted on the request.
    TooLong,
    /// What came back is no answer. The server may have acted on the request.
    Malformed,
};

/// The longest head of an answer, in bytes, and the longest body of one that says no more than how a call ended.
inline constexpr size_t default_max_head_bytes = size_t { 16 } * 1024;
inline constexpr size_t default_max_body_bytes = size_t { 64 } * 1024;
/// A whole answer may take this many times the longest silence, unless the call says otherwise.
inline constexpr int total_timeout_factor = 4;

struct HttpCallRequest {
    std::string address;
    uint16_t port { 0 };
    std::string method { "GET" };
    std::string path;
    HttpHeaders headers;
    std::string body;
    /// Longest silence, connecting included.
    Core::Duration timeout { 30000 };
    /// Longest time until the whole answer is there. If empty, HttpClient takes `total_timeout_factor` times `timeout`, and an HttpCall may
    /// last as long as bytes arrive.
    std::optional<Core::Duration> total_timeout {};
    size_t max_head_bytes { default_max_head_bytes };
    /// Longest body in bytes; empty for an HttpCall whose callbacks keep nothing.
    std::optional<size_t> max_body_bytes { default_max_body_bytes };
    RateLimit* limit { nullptr };
};

/// Whether the connection is meant to carry another request after this one.
enum class ConnectionUse {
    Once,
    Again,
};

/// A connection to one server that carries one request after another.
///
/// An answer has to say itself where it ends: one that ends with its connection may have been cut short, and nobody can tell.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    /// `done` and `failed` are called in a later turn of the loop than send(), and one of them once.
    struct Callbacks {
        std::function<void(MessageHead const&)> head;
        std::function<void(std::string_view)> data;
        std::function<void()> done;
        std::function<void(HttpFailure)> failed;
    };

    explicit HttpConnection(Core::EventLoop&);
    ~HttpConnection();
    HttpConnection(HttpConnection const&) = delete;
    HttpConnection& operator=(HttpConnection const&) = delete;

    /// Sends a request, the first one after connecting to its address. Any later one goes to the same address, once the one before it is
    /// answered and if can_send_again(). Fields that are not valid are not sent.
    void send(HttpCallRequest const&, ConnectionUse, Callbacks);

    /// Whether the connection stands and nothing has arrived that belongs to no request.
    bool can_send_again() const;

    /// Ends the connection, and the call under way without calling back.
    void close();

private:
    void connect();
    void begin_call();
    void on_event(short events);
    void on_bytes();
    void on_written();
    void on_head(MessageHead const&);
    void on_data(std::string_view);
    void on_fault(MessageFault);
    void finish();
    void fail(HttpFailure);
    void close_stream();

    Core::EventLoop& m_loop;
    bufferevent* m_stream { nullptr };
    bool m_is_connected { false };
    // The call under way.
    HttpCallRequest m_request;
    ConnectionUse m_use { ConnectionUse::Once };
    Callbacks m_callbacks;
    std::unique_ptr<MessageReader> m_reader;
    std::unique_ptr<Core::Timer> m_total_timer;
    size_t m_body_bytes { 0 };
    bool m_is_calling { false };
    bool m_keeps_connection { false };
    bool m_is_closed { false };
    // The owner hears of nothing more.
    bool m_is_cancelled { false };
};

}
