// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibTransport/HttpConnection.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Transport {

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
    explicit HttpCall(std::shared_ptr<HttpConnection>);

    std::shared_ptr<HttpConnection> m_connection;
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
