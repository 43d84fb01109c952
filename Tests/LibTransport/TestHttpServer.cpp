// SPDX-License-Identifier: BSD-2-Clause
#include "LoopTest.h"
#include <LibTransport/HttpServer.h>

using namespace Transport;

class HttpServerTest : public LoopTest {
};

TEST_F(HttpServerTest, AnAnswerThatNobodyTakesIsGivenUpSoon)
{
    // More than the socket buffers of both ends hold.
    auto const body = std::make_shared<std::string const>(size_t { 64 } << 20, 'a');
    HttpServerOptions options;
    options.idle_timeout = hang * 20;
    options.send_patience = Core::Duration(200);
    size_t requests = 0;
    auto const server = HttpServer::create(m_loop, "127.0.0.1", 0, options, [&](auto const& exchange) {
        requests += 1;
        exchange->reply_shared(200, {}, body);
    }).value();
    RawClient client(server->port());
    client.send_text("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return requests == 1 && body.use_count() == 1; });
}

// The loop does not turn between the caller's connect and the stop, so its connection still waits to be accepted.
TEST_F(HttpServerTest, AConnectionThatWaitsToBeAcceptedAsTheServerStopsIsAnswered)
{
    auto const server = HttpServer::create(m_loop, "127.0.0.1", 0, {}, [](auto const& exchange) { exchange->reply(200, {}, "done"); }).value();
    RawClient client(server->port());
    client.send_text("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    server->end_connections_gently();
    EXPECT_FALSE(server->stop_listening());
    bool is_closed = false;
    run_until([&] {
        is_closed = server->stop_listening();
        return client.read_more();
    });
    EXPECT_TRUE(is_closed);
    EXPECT_FALSE(client.was_reset());
    EXPECT_NE(client.text().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.text().ends_with("done"));
}

// A process that ends while calls wait for their turn must end well.
TEST_F(HttpServerTest, AServerMayEndBeforeTheCallsThatItHasNotAnswered)
{
    std::shared_ptr<HttpExchange> waiting;
    bool is_gone = false;
    auto server = HttpServer::create(m_loop, "127.0.0.1", 0, {}, [&](auto const& exchange) {
        waiting = exchange;
        waiting->on_gone([&] { is_gone = true; });
    }).value();
    RawClient client(server->port());
    client.send_text("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return waiting != nullptr; });
    server.reset();
    EXPECT_TRUE(is_gone);
    EXPECT_TRUE(waiting->is_over());
    waiting.reset();
}
