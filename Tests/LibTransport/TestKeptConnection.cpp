// SPDX-License-Identifier: BSD-2-Clause
#include "LoopTest.h"
#include <LibTransport/KeptConnection.h>
#include <event2/listener.h>
#include <utility>
#include <vector>

using namespace Transport;

namespace {

/// A server that says what it is told to, whatever HTTP allows, and counts its connections.
class ScriptedServer {
public:
    explicit ScriptedServer(Core::EventLoop& loop)
    {
        auto target = socket_address("127.0.0.1", 0);
        m_listener = evconnlistener_new_bind(
            loop.base(), [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) { static_cast<ScriptedServer*>(self)->m_sockets.push_back(socket); },
            this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&target), sizeof(target));
        sockaddr_in bound {};
        socklen_t length = sizeof(bound);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&bound), &length);
        m_port = ntohs(bound.sin_port);
    }

    ~ScriptedServer()
    {
        evconnlistener_free(m_listener);
        for (auto socket : m_sockets)
            close(socket);
    }

    uint16_t port() const { return m_port; }
    size_t connections() const { return m_sockets.size(); }

    /// Requests that came over the newest connection.
    size_t requests()
    {
        char buffer[4096];
        for (ssize_t count = 0; !m_sockets.empty() && (count = recv(m_sockets.back(), buffer, sizeof(buffer), MSG_DONTWAIT)) > 0;)
            m_received.append(buffer, static_cast<size_t>(count));
        size_t count = 0;
        for (auto at = m_received.find("\r\n\r\n"); at != std::string::npos; at = m_received.find("\r\n\r\n", at + 1))
            count += 1;
        return count;
    }

    void say(std::string const& text) { EXPECT_EQ(send(m_sockets.back(), text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size())); }

    void close_all()
    {
        for (auto socket : m_sockets)
            shutdown(socket, SHUT_RDWR);
    }

private:
    evconnlistener* m_listener { nullptr };
    std::vector<evutil_socket_t> m_sockets;
    std::string m_received;
    uint16_t m_port { 0 };
};

std::string answer(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

class KeptConnectionTest : public LoopTest {
protected:
    using Answer = tl::expected<HttpAnswer, HttpFailure>;

    /// Makes one call that the server answers with a text.
    Answer call(std::string const& text)
    {
        std::optional<Answer> result;
        m_kept.get("/report", [&](auto const& answer) { result = answer; });
        auto const before = m_answered;
        run_until([&] {
            if (m_answered == before && m_server.requests() > m_answered) {
                m_answered += 1;
                m_server.say(text);
            }
            return result.has_value();
        });
        return *result;
    }

    ScriptedServer m_server { m_loop };
    KeptConnection m_kept { m_loop, "127.0.0.1", m_server.port(), Core::Duration(300) };
    size_t m_answered { 0 };
};

// A process that wakes asks anew what it asked before it stood still, and the old answer comes all the same.
TEST_F(KeptConnectionTest, ACallMadeWhileTheLastOneIsUnderWayTakesItsPlace)
{
    bool is_first_heard = false;
    m_kept.get("/report", [&](auto const&) { is_first_heard = true; });
    run_until([&] { return m_server.requests() == 1; });
    m_server.say(answer("first"));
    std::optional<Answer> second;
    m_kept.get("/report", [&](auto const& answer) { second = answer; });
    bool is_answered = false;
    run_until([&] {
        if (m_server.connections() == 2 && m_server.requests() == 2 && !std::exchange(is_answered, true))
            m_server.say(answer("second"));
        return second.has_value();
    });
    ASSERT_TRUE(second->has_value());
    EXPECT_EQ((*second)->body, "second");
    EXPECT_FALSE(is_first_heard);
}

TEST_F(KeptConnectionTest, ManyCallsTakeOneConnection)
{
    for (auto const* body : { "one", "two", "three" })
        EXPECT_EQ(call(answer(body)).value().body, body);
    EXPECT_EQ(m_server.connections(), 1u);
}

TEST_F(KeptConnectionTest, AConnectionThatWasClosedAtRestIsMadeAnew)
{
    EXPECT_TRUE(call(answer("one")).has_value());
    m_server.close_all();
    // The end of the connection may be seen before the next call or by it.
    auto const second = call(answer("two"));
    EXPECT_TRUE(second.has_value() || call(answer("two")).has_value());
    EXPECT_EQ(m_server.connections(), 2u);
}

TEST_F(KeptConnectionTest, ASilentConnectionIsGivenUp)
{
    EXPECT_TRUE(call(answer("one")).has_value());
    auto const silent = call("");
    ASSERT_FALSE(silent.has_value());
    EXPECT_EQ(silent.error(), HttpFailure::TimedOut);
    EXPECT_TRUE(call(answer("two")).has_value());
    EXPECT_EQ(m_server.connections(), 2u);
}

TEST_F(KeptConnectionTest, BytesThatNobodyAskedForAreTakenForNoAnswer)
{
    EXPECT_EQ(call(answer("one") + answer("surplus")).value().body, "one");
    // libevent finds the surplus at rest and gives the connection up.
    bool has_rested = false;
    auto const rest = m_loop.after(Core::Duration(20), [&] { has_rested = true; });
    run_until([&] { return has_rested; });
    EXPECT_EQ(call(answer("two")).value().body, "two");
}

TEST_F(KeptConnectionTest, AnAnswerWithoutALengthIsNoWholeAnswer)
{
    std::optional<Answer> result;
    m_kept.get("/report", [&](auto const& answer) { result = answer; });
    bool has_answered = false;
    run_until([&] {
        if (!has_answered && m_server.requests() > 0) {
            has_answered = true;
            m_server.say("HTTP/1.1 200 OK\r\n\r\nhalf");
            m_server.close_all();
        }
        return result.has_value();
    });
    EXPECT_FALSE(result->has_value());
}

TEST_F(KeptConnectionTest, AnEndedConnectionCallsNobodyBack)
{
    bool is_called = false;
    m_kept.get("/report", [&](auto const&) { is_called = true; });
    m_kept.reset();
    EXPECT_TRUE(call(answer("one")).has_value());
    EXPECT_FALSE(is_called);
}

TEST_F(KeptConnectionTest, APortWhereNobodyListensIsNotConnected)
{
    KeptConnection nowhere(m_loop, "127.0.0.1", 1, Core::Duration(300));
    std::optional<Answer> result;
    nowhere.get("/report", [&](auto const& answer) { result = answer; });
    run_until([&] { return result.has_value(); });
    ASSERT_FALSE(result->has_value());
    EXPECT_EQ(result->error(), HttpFailure::NotConnected);
}
