// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibTransport/HttpServer.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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

/// One request over a fresh connection. Dropping the object cancels it without calling back.
class HttpCall {
public:
    struct Callbacks {
        std::function<void(int status, HttpHeaders const&)> head;
        std::function<void(std::string_view)> data;
        std::function<void()> done;
        std::function<void(HttpFailure)> failed;
    };

    static std::unique_ptr<HttpCall> start(Core::EventLoop&, HttpCallRequest const&, Callbacks);
    ~HttpCall();

private:
    class State;
    explicit HttpCall(std::shared_ptr<State>);

    std::shared_ptr<State> m_state;
};

/// A whole answer.
struct HttpAnswer {
    int status { 0 };
    HttpHeaders headers;
    std::string body;
};

/// Makes calls whose answers are wanted whole, and keeps them alive until they end.
class HttpClient {
public:
    explicit HttpClient(Core::EventLoop&);
    ~HttpClient();

    using Callback = std::function<void(tl::expected<HttpAnswer, HttpFailure>)>;
    /// Returns a number to cancel by.
    uint64_t call(HttpCallRequest const&, Callback const&);
    void cancel(uint64_t);

private:
    struct Running;

    Core::EventLoop& m_loop;
    uint64_t m_next { 1 };
    std::map<uint64_t, std::shared_ptr<Running>> m_running;
};

}
