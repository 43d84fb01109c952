// SPDX-License-Identifier: BSD-2-Clause
#include "LoopTest.h"
#include <LibTransport/HttpClient.h>
#include <LibTransport/Link.h>
#include <optional>
#include <sys/socket.h>

using namespace Transport;

namespace {

constexpr Core::Duration silence { 400 };
constexpr size_t slice_bytes = size_t { 64 } << 10;
constexpr Core::Duration interval { 1 };

/// A server that answers once it has taken so many bytes.
class TakingServer {
public:
    TakingServer(Core::EventLoop& loop, size_t request_bytes)
        : m_request_bytes(request_bytes)
        , m_slice(slice_bytes, '\0')
        , m_listener(LinkListener::create(loop, "127.0.0.1", 0, [this](int socket) { m_socket = socket; }).value())
        , m_timer(loop.every(interval, [this] { take(); }))
    {
    }

    ~TakingServer()
    {
        if (m_socket >= 0)
            close(m_socket);
    }

    uint16_t port() const { return m_listener->port(); }
    std::string const& taken() const { return m_taken; }

private:
    void take()
    {
        static constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
        if (m_socket < 0 || m_has_answered)
            return;
        auto const count = recv(m_socket, m_slice.data(), m_slice.size(), MSG_DONTWAIT);
        if (count > 0)
            m_taken.append(m_slice, 0, static_cast<size_t>(count));
        if (m_taken.size() < m_request_bytes)
            return;
        m_has_answered = true;
        send(m_socket, answer.data(), answer.size(), MSG_NOSIGNAL);
    }

    size_t m_request_bytes;
    std::string m_slice;
    std::string m_taken;
    int m_socket { -1 };
    bool m_has_answered { false };
    std::unique_ptr<LinkListener> m_listener;
    std::unique_ptr<Core::Timer> m_timer;
};

}

class HttpConnectionTest : public LoopTest {
protected:
    std::optional<tl::expected<HttpAnswer, HttpFailure>> call(uint16_t port, HttpCallRequest request)
    {
        HttpClient client(m_loop);
        std::optional<tl::expected<HttpAnswer, HttpFailure>> result;
        request.address = "127.0.0.1";
        request.port = port;
        request.timeout = silence;
        request.total_timeout = hang;
        client.call(request, [&](auto const& answer) { result = answer; });
        run_until([&] { return result.has_value(); });
        return result;
    }
};

TEST_F(HttpConnectionTest, AServerThatTakesTheRequestAndSaysNothingTimesOut)
{
    HttpCallRequest request;
    request.path = "/";
    TakingServer server(m_loop, size_t { 1 } << 20);
    auto const result = call(server.port(), request);
    EXPECT_EQ(result->error(), HttpFailure::TimedOut);
}

// Guards against a field's value that a caller made, and that the next reader takes for another field or for the end of the head.
TEST_F(HttpConnectionTest, OnlyValidFieldsAreSent)
{
    HttpCallRequest request;
    request.method = "REPORT";
    request.path = "/a?b";
    request.headers = { { "X-Field", "1" }, { "X Odd", "1" }, { "X-Two", "a\r\nX-Three: b" }, { "", "1" } };
    TakingServer server(m_loop, 1);
    auto const result = call(server.port(), request);
    ASSERT_TRUE(result->has_value());
    auto const host = "127.0.0.1:" + std::to_string(server.port());
    EXPECT_EQ(server.taken(), "REPORT /a?b HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\nX-Field: 1\r\n\r\n");
}
