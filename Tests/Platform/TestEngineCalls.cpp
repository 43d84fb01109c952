// SPDX-License-Identifier: BSD-2-Clause
#include "../../platform/HttpEngine.h"
#include "../LibTransport/LoopTest.h"
#include <LibTransport/HttpServer.h>

using namespace PlatformAdapter;

class EngineCallsTest : public LoopTest {
protected:
    void SetUp() override
    {
        m_server = Transport::HttpServer::create(m_loop, "127.0.0.1", 0, {}, [this](auto const& exchange) {
            m_requests += 1;
            if (m_requests <= m_unanswered_up_to)
                m_unanswered.push_back(exchange);
            else
                exchange->reply(200, {}, R"({"Stage":"both","Busy":false,"CallSeq":3,"Waiting":0,"Running":1,"pace":1.0,"Models":[]})");
        }).value();
        m_engine = std::make_unique<HttpEngine>(m_loop, "127.0.0.1:" + std::to_string(m_server->port()));
    }

    void request_report()
    {
        m_engine->read_report([this](auto const& report) { m_reports.push_back(report.has_value()); });
        run_until([this] { return !m_reports.empty(); });
    }

    std::unique_ptr<Transport::HttpServer> m_server;
    std::unique_ptr<HttpEngine> m_engine;
    std::vector<std::shared_ptr<Transport::HttpExchange>> m_unanswered;
    size_t m_requests { 0 };
    size_t m_unanswered_up_to { 0 };
    std::vector<bool> m_reports;
};

TEST_F(EngineCallsTest, OneUnansweredReportDoesNotMakeTheEngineUnreachable)
{
    m_unanswered_up_to = 1;
    request_report();
    EXPECT_EQ(m_reports, std::vector<bool> { true });
    EXPECT_EQ(m_requests, 2u);
}

TEST_F(EngineCallsTest, AnEngineThatDoesNotAnswerIsUnreachable)
{
    m_unanswered_up_to = 100;
    request_report();
    EXPECT_EQ(m_reports, std::vector<bool> { false });
}

TEST_F(EngineCallsTest, ATerminatedEngineIsQueriedOnce)
{
    m_server.reset();
    request_report();
    EXPECT_EQ(m_reports, std::vector<bool> { false });
    EXPECT_EQ(m_requests, 0u);
}
