// SPDX-License-Identifier: BSD-2-Clause
#include "LoopTest.h"
#include <LibTransport/IngressServer.h>

using namespace Transport;

class IngressServerTest : public LoopTest {
protected:
    void SetUp() override
    {
        auto handler = [this](std::shared_ptr<IngressRequest> const& request) {
            m_requests.push_back(request);
            if (m_on_request)
                m_on_request(*request);
        };
        auto fault_handler = [this](IngressFault fault, MessageHead const&) {
            m_faults.push_back(fault);
            return FaultAnswer { { { "Content-Type", "application/problem+json" } }, "{\"fault\":1}" };
        };
        m_server = IngressServer::create(m_loop, "127.0.0.1", 0, handler, fault_handler).value();
    }

    std::unique_ptr<IngressServer> m_server;
    std::function<void(IngressRequest&)> m_on_request;
    std::vector<std::shared_ptr<IngressRequest>> m_requests;
    std::vector<IngressFault> m_faults;
};

TEST_F(IngressServerTest, PipelinedRequestsAreHandedOnOneAfterAnother)
{
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    m_requests[0]->reply(200, {}, "first");
    run_until([&] { return m_requests.size() == 2; });
    EXPECT_EQ(m_requests[1]->head().target, "/2");
    m_requests[1]->reply(200, {}, "second");
    run_until([&] {
        client.read_more();
        return client.text().find("second") != std::string::npos;
    });
    EXPECT_LT(client.text().find("first"), client.text().find("second"));
}

// Guards against a second request that is run beside the one in hand, and answered in its place.
TEST_F(IngressServerTest, ARequestThatComesWhileOneIsInHandWaitsForItsAnswer)
{
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    client.send_text("GET /2 HTTP/1.1\r\nHost: x\r\n\r\nGET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_for(Core::Duration(100));
    ASSERT_EQ(m_requests.size(), 1U);
    m_on_request = [](IngressRequest& request) { request.reply(200, {}, "to " + request.head().target); };
    m_requests[0]->reply(200, {}, "to /1");
    run_until([&] {
        client.read_more();
        return client.text().ends_with("to /3");
    });
    EXPECT_LT(client.text().find("to /1"), client.text().find("to /2"));
}

TEST_F(IngressServerTest, MoreThanOneRequestBehindTheOneInHandEndsTheConnectionBehindItsAnswer)
{
    IngressLimits limits;
    limits.max_head_bytes = 100;
    limits.max_body_bytes = 100;
    m_server->set_limits(limits);
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    client.send_text("POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 300\r\n\r\n" + std::string(300, 'a'));
    run_for(Core::Duration(100));
    m_requests[0]->reply(200, {}, "done");
    run_until([&] { return client.read_more(); });
    EXPECT_TRUE(client.text().ends_with("done"));
    EXPECT_NE(client.text().find("Connection: close"), std::string::npos);
    EXPECT_EQ(m_requests.size(), 1U);
}

TEST_F(IngressServerTest, TwoLengthsGetATypedAnswerAndNobodyActsOnTheRequest)
{
    RawClient client(m_server->port());
    client.send_text("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    run_until([&] { return client.read_more(); });
    EXPECT_TRUE(client.text().starts_with("HTTP/1.1 400 "));
    EXPECT_NE(client.text().find("application/problem+json"), std::string::npos);
    EXPECT_TRUE(m_requests.empty());
    EXPECT_EQ(m_faults, std::vector<IngressFault> { IngressFault::Malformed });
}

TEST_F(IngressServerTest, ABodyOverTheLimitIsRefused)
{
    IngressLimits limits;
    limits.max_body_bytes = 10;
    m_server->set_limits(limits);
    RawClient client(m_server->port());
    client.send_text("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n" + std::string(20, 'a'));
    run_until([&] { return client.read_more(); });
    EXPECT_TRUE(client.text().starts_with("HTTP/1.1 413 "));
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(IngressServerTest, AHeadThatNeverEndsTimesOut)
{
    IngressLimits limits;
    limits.head_timeout = Core::Duration(10);
    m_server->set_limits(limits);
    RawClient client(m_server->port());
    client.send_text("GET / HTTP/1.1\r\nHost:");
    run_until([&] { return client.read_more(); });
    EXPECT_TRUE(client.text().starts_with("HTTP/1.1 408 "));
}

TEST_F(IngressServerTest, ACallerThatLeavesIsNoticedBeforeItIsAnswered)
{
    RawClient client(m_server->port());
    client.send_text("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    bool is_gone = false;
    m_on_request = [&](IngressRequest& request) { request.on_gone([&] { is_gone = true; }); };
    run_until([&] { return m_requests.size() == 1; });
    client.close_now();
    run_until([&] { return is_gone; });
    EXPECT_TRUE(m_requests[0]->is_over());
}

TEST_F(IngressServerTest, AnAnswerThatIsBrokenOffDoesNotLookWhole)
{
    RawClient client(m_server->port());
    client.send_text("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    m_requests[0]->start(200, {}, {});
    m_requests[0]->part("part");
    run_until([&] {
        client.read_more();
        return client.text().find("part") != std::string::npos;
    });
    m_requests[0]->abort();
    run_until([&] { return client.read_more(); });
    EXPECT_TRUE(client.was_reset());
    EXPECT_EQ(client.text().find("0\r\n\r\n"), std::string::npos);
}

TEST_F(IngressServerTest, WhileConnectionsEndGentlyEachAnswerSaysSo)
{
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    m_server->end_connections_gently();
    m_requests[0]->reply(200, {}, "done");
    run_until([&] { return client.read_more(); });
    EXPECT_NE(client.text().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.text().ends_with("done"));
}

TEST_F(IngressServerTest, StoppingLeavesTheRequestInHandItsAnswer)
{
    RawClient at_rest(m_server->port());
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1 && m_server->connection_count() == 2; });
    m_server->stop_accepting();
    run_until([&] { return at_rest.read_more(); });
    m_requests[0]->reply(200, {}, "done");
    run_until([&] { return client.read_more(); });
    EXPECT_TRUE(client.text().ends_with("done"));
}

TEST_F(IngressServerTest, StoppingRightAfterAnAnswersLastByteLeavesItWhole)
{
    // Found by the day roll_term_busy: the head had gone out before the stop, and the end was still on its way.
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    m_requests[0]->start(200, {}, {});
    m_requests[0]->part("part");
    m_requests[0]->end();
    m_server->stop_accepting();
    run_until([&] { return client.read_more(); });
    EXPECT_TRUE(client.text().ends_with("0\r\n\r\n"));
    EXPECT_FALSE(client.was_reset());
}

TEST_F(IngressServerTest, AnAnswerThatNobodyTakesIsGivenUpLongBeforeAnIdleConnection)
{
    IngressLimits limits;
    limits.idle_timeout = hang * 20;
    m_server->set_limits(limits);
    RawClient client(m_server->port());
    client.send_text("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    // More than the socket buffers of both ends hold.
    m_requests[0]->start(200, {}, {});
    m_requests[0]->part(std::string(size_t { 64 } << 20, 'a'));
    bool is_gone = false;
    m_requests[0]->on_gone([&] { is_gone = true; });
    run_until([&] { return is_gone && m_server->connection_count() == 0; });
}

TEST_F(IngressServerTest, AShortIdleLimitDoesNotCutTheEndOfAnAnswerThatIsStillBeingTaken)
{
    IngressLimits limits;
    limits.idle_timeout = Core::Duration(100);
    m_server->set_limits(limits);
    RawClient client(m_server->port());
    client.send_text("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    // More than the sockets on both sides hold.
    std::string const body(size_t { 32 } << 20, 'x');
    m_requests[0]->reply(200, {}, body);
    run_for(Core::Duration(1000));
    run_until([&] { return client.read_more(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_TRUE(client.text().ends_with(body));
}

// The loop does not turn between the caller's connect and the stop, so its connection still waits to be accepted.
TEST_F(IngressServerTest, AConnectionThatWaitsToBeAcceptedAsTheServerStopsIsAnswered)
{
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    m_on_request = [](IngressRequest& request) { request.reply(200, {}, "done"); };
    m_server->stop_accepting();
    run_until([&] { return client.read_more(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_NE(client.text().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.text().ends_with("done"));
}

TEST_F(IngressServerTest, ARequestThatNobodyHasReadAsTheServerStopsIsAnswered)
{
    m_on_request = [](IngressRequest& request) { request.reply(200, {}, request.head().target); };
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] {
        client.read_more();
        return client.text().ends_with("/1");
    });
    client.send_text("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    m_server->stop_accepting();
    run_until([&] { return client.read_more(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_TRUE(client.text().ends_with("/2"));
}

TEST_F(IngressServerTest, AConnectionThatNeverAsksIsClosedSoonAfterTheServerStops)
{
    RawClient client(m_server->port());
    m_server->stop_accepting();
    EXPECT_EQ(m_server->connection_count(), 1U);
    run_until([&] { return client.read_more(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_EQ(m_server->connection_count(), 0U);
}

TEST_F(IngressServerTest, AFirstRequestThatComesASecondAfterTheServerStoppedIsAnswered)
{
    m_on_request = [](IngressRequest& request) { request.reply(200, {}, "done"); };
    RawClient client(m_server->port());
    run_until([&] { return m_server->connection_count() == 1; });
    m_server->stop_accepting();
    run_for(Core::Duration(1000));
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return client.read_more(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_TRUE(client.text().ends_with("done"));
    run_until([&] { return m_server->has_finished(); });
}

// Guards against requests that cross the close of a connection whose last answer said nothing of it: its head went out before the stop.
TEST_F(IngressServerTest, ANextRequestRightBehindAnAnswerIsAnsweredAfterTheServerStopped)
{
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    m_requests[0]->start(200, {}, {});
    m_requests[0]->part("part");
    m_server->stop_accepting();
    m_requests[0]->end();
    bool is_later = false;
    auto const timer = m_loop.after(Core::Duration(500), [&] { is_later = true; });
    run_until([&] {
        m_server->stop_accepting();
        return is_later;
    });
    m_on_request = [](IngressRequest& request) { request.reply(200, {}, request.head().target); };
    client.send_text("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return client.read_more(); });
    EXPECT_FALSE(client.was_reset());
    EXPECT_NE(client.text().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.text().ends_with("/2"));
    run_until([&] { return m_server->has_finished(); });
}

TEST_F(IngressServerTest, RequestsThatAreNotWholeAsTheProcessEndsAreRefused)
{
    RawClient in_head(m_server->port());
    RawClient in_body(m_server->port());
    RawClient at_rest(m_server->port());
    in_head.send_text("GET / HTTP/1.1\r\nHost:");
    in_body.send_text("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na");
    run_until([&] { return m_server->connection_count() == 3; });
    run_for(Core::Duration(50));
    m_server->stop_accepting();
    m_server->refuse_unread();
    for (auto* client : { &in_head, &in_body }) {
        run_until([&] { return client->read_more(); });
        EXPECT_TRUE(client->text().starts_with("HTTP/1.1 503 "));
        EXPECT_NE(client->text().find("Connection: close"), std::string::npos);
    }
    run_until([&] { return at_rest.read_more(); });
    EXPECT_EQ(at_rest.text(), "");
    EXPECT_EQ(m_faults, (std::vector<IngressFault> { IngressFault::Stopping, IngressFault::Stopping }));
    EXPECT_TRUE(m_requests.empty());
    run_until([&] { return m_server->has_finished(); });
}

// To the caller it is as if its packet were lost, so it has sent nothing that could be cut off.
TEST_F(IngressServerTest, AConnectionThatComesAsTheListenerClosesIsRefusedAndNeverReset)
{
    auto const target = socket_address("127.0.0.1", m_server->port());
    m_server->stop_accepting();
    int const caller = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    EXPECT_EQ(connect(caller, reinterpret_cast<sockaddr const*>(&target), sizeof(target)), -1);
    EXPECT_EQ(errno, EINPROGRESS);
    EXPECT_FALSE(m_server->has_finished());
    pollfd state { .fd = caller, .events = POLLOUT, .revents = 0 };
    EXPECT_EQ(poll(&state, 1, 0), 0);
    run_until([&] { return poll(&state, 1, 0) > 0; });
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(caller, SOL_SOCKET, SO_ERROR, &error, &size);
    EXPECT_EQ(error, ECONNREFUSED);
    EXPECT_TRUE(m_server->has_finished());
    close(caller);
}

TEST_F(IngressServerTest, TheAnswerToAHeadRequestTellsItsLengthAndHasNoBody)
{
    m_on_request = [](IngressRequest& request) { request.reply(503, {}, "refused"); };
    RawClient client(m_server->port());
    client.send_text("HEAD /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    run_until([&] { return client.read_more(); });
    EXPECT_NE(client.text().find("Content-Length: 7\r\n"), std::string::npos);
    EXPECT_TRUE(client.text().ends_with("\r\n\r\n"));
}

TEST_F(IngressServerTest, AStreamedAnswerToACallerThatKnowsNoChunksEndsWithItsConnection)
{
    m_on_request = [](IngressRequest& request) {
        request.start(200, {}, {});
        request.part("one ");
        request.part("two");
        request.end();
    };
    RawClient client(m_server->port());
    client.send_text("GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    run_until([&] { return client.read_more(); });
    EXPECT_EQ(client.text().find("chunked"), std::string::npos);
    EXPECT_NE(client.text().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.text().ends_with("\r\n\r\none two"));
}

static IngressLimits small_limits()
{
    IngressLimits limits;
    limits.max_head_bytes = 1000;
    limits.max_body_bytes = 10000;
    limits.max_memory_bytes = 40000;
    limits.max_connections = 4;
    return limits;
}

static std::string unfinished_request(size_t sent)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10000\r\n\r\n" + std::string(sent, 'a');
}

// Guards against unfinished requests that together take all memory, and against bytes that are counted for good.
TEST_F(IngressServerTest, TheRequestThatBeganFirstGivesWayWhenUnfinishedOnesTakeTooMuchMemory)
{
    auto limits = small_limits();
    limits.max_connections = 100;
    m_server->set_limits(limits);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (size_t i = 0; i < 6; ++i) {
        clients.push_back(std::make_unique<RawClient>(m_server->port()));
        clients.back()->send_text(unfinished_request(9999));
        run_for(Core::Duration(20));
        EXPECT_LE(m_server->memory_bytes(), limits.max_memory_bytes);
    }
    run_until([&] { return clients[0]->read_more() && clients[1]->read_more(); });
    EXPECT_TRUE(clients[0]->text().starts_with("HTTP/1.1 503 ")) << clients[0]->text();
    EXPECT_EQ(m_faults, (std::vector<IngressFault> { IngressFault::Overloaded, IngressFault::Overloaded }));
    clients[5]->send_text("b");
    run_until([&] { return m_requests.size() == 1; });
    EXPECT_EQ(m_requests[0]->body().size(), 10000U);
    m_requests[0]->reply(200, {}, "done");
    for (auto const& client : clients)
        client->close_now();
    run_until([&] { return m_server->connection_count() == 0; });
    EXPECT_EQ(m_server->memory_bytes(), 0U);
}

TEST_F(IngressServerTest, AWholeRequestIsNeverRefusedForTheMemoryThatItTakes)
{
    auto limits = small_limits();
    limits.max_connections = 100;
    m_server->set_limits(limits);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (size_t i = 0; i < 2; ++i) {
        clients.push_back(std::make_unique<RawClient>(m_server->port()));
        clients.back()->send_text(unfinished_request(10000));
        run_until([&] { return m_requests.size() == i + 1; });
    }
    RawClient third(m_server->port());
    third.send_text(unfinished_request(9999));
    run_until([&] { return third.read_more(); });
    EXPECT_TRUE(third.text().starts_with("HTTP/1.1 503 "));
    for (size_t i = 0; i < 2; ++i) {
        m_requests[i]->reply(200, {}, "done");
        run_until([&] { clients[i]->read_more(); return clients[i]->text().ends_with("done"); });
    }
    run_until([&] { return m_server->memory_bytes() == 0; });
}

TEST_F(IngressServerTest, RequestsBehindOneInHandAreDroppedUnreadWhenMemoryIsShort)
{
    auto limits = small_limits();
    limits.max_connections = 100;
    m_server->set_limits(limits);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (size_t i = 0; i < 6; ++i) {
        clients.push_back(std::make_unique<RawClient>(m_server->port()));
        clients.back()->send_text("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
        run_until([&] { return m_requests.size() == i + 1; });
        clients.back()->send_text(unfinished_request(9999));
        run_for(Core::Duration(20));
        EXPECT_LE(m_server->memory_bytes(), limits.max_memory_bytes);
    }
    for (auto const& request : std::vector(m_requests))
        request->reply(200, {}, "done");
    run_until([&] { return clients[0]->read_more(); });
    EXPECT_TRUE(clients[0]->text().ends_with("done"));
    EXPECT_NE(clients[0]->text().find("Connection: close"), std::string::npos);
    run_until([&] { clients[5]->read_more(); return clients[5]->text().ends_with("done"); });
    EXPECT_EQ(clients[5]->text().find("Connection: close"), std::string::npos);
}

TEST_F(IngressServerTest, ABodyThatIsAnnouncedOverTheLimitIsRefusedBeforeItComes)
{
    m_server->set_limits(small_limits());
    RawClient client(m_server->port());
    client.send_text("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10001\r\n\r\n");
    run_until([&] { return client.read_more(); });
    EXPECT_TRUE(client.text().starts_with("HTTP/1.1 413 "));
}

// Guards against callers that keep connections until the process has no descriptor left.
TEST_F(IngressServerTest, TheConnectionThatRestedLongestMakesRoomAndOneInHandStays)
{
    m_server->set_limits(small_limits());
    RawClient busy(m_server->port());
    busy.send_text("GET /busy HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 1; });
    std::vector<std::unique_ptr<RawClient>> idle;
    for (size_t i = 0; i < 10; ++i) {
        idle.push_back(std::make_unique<RawClient>(m_server->port()));
        run_for(Core::Duration(5));
        EXPECT_LE(m_server->connection_count(), 4U);
    }
    run_until([&] { return idle[0]->read_more(); });
    RawClient next(m_server->port());
    next.send_text("GET /next HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return m_requests.size() == 2; });
    m_requests[0]->reply(200, {}, "busy done");
    run_until([&] { busy.read_more(); return busy.text().ends_with("busy done"); });
}
