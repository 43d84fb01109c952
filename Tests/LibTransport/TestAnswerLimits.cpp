// SPDX-License-Identifier: BSD-2-Clause
#include "LoopTest.h"
#include <LibTransport/HttpClient.h>
#include <LibTransport/KeptConnection.h>
#include <event2/listener.h>
#include <vector>

using namespace Transport;

namespace {

/// A server that answers each connection with a beginning and then repeats a text without end, until the caller closes.
class EndlessServer {
public:
    EndlessServer(Core::EventLoop& loop, std::string beginning, std::string repeated)
        : m_beginning(std::move(beginning))
        , m_repeated(std::move(repeated))
    {
        auto target = socket_address("127.0.0.1", 0);
        m_listener = evconnlistener_new_bind(
            loop.base(), [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) { static_cast<EndlessServer*>(self)->on_socket(socket); },
            this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&target), sizeof(target));
        m_port = local_port(evconnlistener_get_fd(m_listener));
    }

    ~EndlessServer()
    {
        evconnlistener_free(m_listener);
        for (auto socket : m_sockets)
            close(socket);
    }

    uint16_t port() const { return m_port; }
    size_t sent() const { return m_sent; }

    /// Sends as much as the callers take.
    void go_on()
    {
        if (m_repeated.empty())
            return;
        for (auto socket : m_sockets) {
            for (ssize_t count = 0; (count = send(socket, m_repeated.data(), m_repeated.size(), MSG_NOSIGNAL | MSG_DONTWAIT)) > 0;)
                m_sent += static_cast<size_t>(count);
        }
    }

    void say(std::string const& text)
    {
        for (auto socket : m_sockets)
            send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

private:
    void on_socket(evutil_socket_t socket)
    {
        m_sockets.push_back(socket);
        EXPECT_EQ(send(socket, m_beginning.data(), m_beginning.size(), MSG_NOSIGNAL), static_cast<ssize_t>(m_beginning.size()));
    }

    evconnlistener* m_listener { nullptr };
    std::vector<evutil_socket_t> m_sockets;
    std::string m_beginning;
    std::string m_repeated;
    uint16_t m_port { 0 };
    size_t m_sent { 0 };
};

struct Endless {
    char const* name;
    char const* beginning;
    char const* repeated;
};

std::vector<Endless> const endless_answers {
    { "first line", "HTTP/1.1 200 ", "O" },
    { "head", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n" },
    { "field", "HTTP/1.1 200 OK\r\nX-More: ", "1" },
    { "body until the end", "HTTP/1.1 200 OK\r\n\r\n", "bytes" },
    { "length of 2^62", "HTTP/1.1 200 OK\r\nContent-Length: 4611686018427387904\r\n\r\n", "bytes" },
    { "chunk of 2^60", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1000000000000000\r\n", "bytes" },
    { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n" },
    { "chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
    { "trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n" },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "interim answers with fields", "", "HTTP/1.1 100 Continue\r\nX-More: 1\r\nX-More: 2\r\n\r\n" },
};

constexpr size_t max_body_bytes = size_t { 100 } * 1024;
// The limits, and what two sockets and the buffers of libevent hold besides.
constexpr size_t most_sent = size_t { 16 } << 20;
constexpr Core::Duration silence { 300 };
constexpr Core::Duration long_silence { 10000 };

}

class AnswerLimitsTest : public LoopTest {
protected:
    /// Runs until a call that a server answers without end has failed.
    void expect_failure(EndlessServer& server, std::optional<HttpFailure> const& failure, char const* name)
    {
        run_until([&] {
            server.go_on();
            return failure.has_value();
        });
        EXPECT_TRUE(failure == HttpFailure::TooLong || failure == HttpFailure::TimedOut || failure == HttpFailure::BrokenOff) << name;
        EXPECT_LT(server.sent(), most_sent) << name;
    }
};

// Guards against processes that keep all that a server sends, until they end for lack of memory.
TEST_F(AnswerLimitsTest, ACallEndsWhateverComesWithoutEnd)
{
    for (auto const& endless : endless_answers) {
        EndlessServer server(m_loop, endless.beginning, endless.repeated);
        HttpClient client(m_loop);
        HttpCallRequest call;
        call.address = "127.0.0.1";
        call.port = server.port();
        call.path = "/piece?a=b";
        call.timeout = silence;
        call.max_body_bytes = max_body_bytes;
        std::optional<HttpFailure> failure;
        client.call(call, [&](auto const& answer) {
            ASSERT_FALSE(answer.has_value()) << endless.name;
            failure = answer.error();
        });
        expect_failure(server, failure, endless.name);
    }
}

TEST_F(AnswerLimitsTest, AKeptConnectionEndsWhateverComesWithoutEnd)
{
    for (auto const& endless : endless_answers) {
        EndlessServer server(m_loop, endless.beginning, endless.repeated);
        KeptConnection kept(m_loop, "127.0.0.1", server.port(), silence, max_body_bytes);
        std::optional<HttpFailure> failure;
        kept.get("/report", [&](auto const& answer) {
            ASSERT_FALSE(answer.has_value()) << endless.name;
            failure = answer.error();
        });
        expect_failure(server, failure, endless.name);
    }
}

// Guards against limits that a good answer meets: of the body, and of the chunks that libevent handles whole.
TEST_F(AnswerLimitsTest, AnAnswerAsLongAsAllowedIsWhole)
{
    std::string const body(max_body_bytes, 'b');
    std::string const with_length = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string const in_one_chunk = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + body + "\r\n0\r\n\r\n";
    static_assert(max_body_bytes == 0x19000);
    for (auto const& text : { with_length, in_one_chunk }) {
        EndlessServer server(m_loop, text, "");
        HttpClient client(m_loop);
        HttpCallRequest call;
        call.address = "127.0.0.1";
        call.port = server.port();
        call.path = "/";
        call.max_body_bytes = body.size();
        std::optional<size_t> received;
        client.call(call, [&](auto const& answer) { received = answer.has_value() ? answer->body.size() : 0; });
        KeptConnection kept(m_loop, "127.0.0.1", server.port(), long_silence, body.size());
        std::optional<size_t> received_on_kept;
        kept.get("/", [&](auto const& answer) { received_on_kept = answer.has_value() ? answer->body.size() : 0; });
        run_until([&] { return received && received_on_kept; });
        EXPECT_EQ(received, body.size());
        EXPECT_EQ(received_on_kept, body.size());
    }
}

// Each byte renews the timeout of silence.
TEST_F(AnswerLimitsTest, AnAnswerThatTricklesEnds)
{
    EndlessServer server(m_loop, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "");
    HttpClient client(m_loop);
    HttpCallRequest call;
    call.address = "127.0.0.1";
    call.port = server.port();
    call.path = "/";
    call.timeout = silence;
    std::optional<HttpFailure> failure;
    client.call(call, [&](auto const& answer) { failure = answer.has_value() ? HttpFailure::NotConnected : answer.error(); });
    KeptConnection kept(m_loop, "127.0.0.1", server.port(), silence);
    std::optional<HttpFailure> failure_on_kept;
    kept.get("/", [&](auto const& answer) { failure_on_kept = answer.has_value() ? HttpFailure::NotConnected : answer.error(); });
    auto const trickle = m_loop.every(silence / 3, [&] { server.say("b"); });
    run_until([&] { return failure && failure_on_kept; });
    EXPECT_EQ(failure, HttpFailure::TimedOut);
    EXPECT_EQ(failure_on_kept, HttpFailure::TimedOut);
}
