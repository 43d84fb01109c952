// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/SlotWait.h>
#include <gtest/gtest.h>

using namespace Routing;
using Core::Duration;
using Core::Time;

namespace {

/// One engine with four slots, whose answers take about a second, and the queue of its service.
class SlotWaitTest : public testing::Test {
protected:
    SlotWaitTest()
        : m_servers({ .failure_domain = "a", .region = "ra", .regions = { { "a", "ra" } } }, 1)
    {
        Schema::EngineTiming timing {};
        timing.slots = 4;
        timing.stride = 5;
        timing.step_ms = 9;
        timing.per_sequence_ms = 0;
        timing.context_ms_per_1000 = 0;
        timing.pairs_ms_per_million = 0;
        timing.prompt_tokens_per_second = 19000;
        timing.usual_prompt_tokens = 900;
        timing.usual_answer_tokens = 90;
        timing.model = "m";
        timing.layers = 16;
        m_servers.set_timing("llm", timing);
    }

    void add_engine(int64_t version)
    {
        Schema::BackendServer server {};
        server.id = "1";
        server.service = "llm";
        server.address = "10.0.0.1:80";
        server.failure_domain = "a";
        server.slots = 4;
        m_servers.set_server(server, m_now);
        Schema::EngineState state {};
        state.version = version;
        m_servers.on_engine_state("10.0.0.1", state, m_now);
    }

    SlotWait wait()
    {
        return { m_servers, m_policy, [this](std::string const&) -> ServiceQueue& { return m_queue; } };
    }

    /// A request that arrives now, from a caller whose first try was `asked_before` ago.
    WaitingRequest request(uint64_t number, Duration asked_before = Duration(0))
    {
        WaitingRequest request;
        request.number = number;
        request.service = "llm";
        request.prompt_tokens = 900;
        request.answer_tokens = 90;
        request.prefill_allowance = { 900, Duration(1000) };
        request.terms = { .in_time_until = m_now - asked_before + Duration(400), .deadline = m_now - asked_before + Duration(6000) };
        return request;
    }

    ServerTable m_servers;
    WaitingPolicy m_policy;
    ServiceQueue m_queue { 4 };
    Time m_now { 10000 };
};

}

// No engine holds the required version, and none is about to load it.
TEST_F(SlotWaitTest, WithoutAnEngineAboutToServeARequestIsRefusedAtOnce)
{
    auto wait = this->wait();
    EXPECT_TRUE(wait.should_refuse(request(1), NoServer::NoneUsable, m_now));
}

// After a power loss, engines are up but empty, with a copy of the weights on their instances.
TEST_F(SlotWaitTest, ARequestWaitsForAnEngineThatIsAboutToLoad)
{
    add_engine(0);
    auto wait = this->wait();
    EXPECT_FALSE(wait.should_refuse(request(1), NoServer::NoneUsable, m_now));
    auto const impatient = request(2, Duration(5000));
    EXPECT_TRUE(wait.should_refuse(impatient, NoServer::NoneUsable, m_now)) << "the caller gives up before the answer ends";
}

// More requests arrive than the engines can serve, among them those of callers that were refused and retry.
TEST_F(SlotWaitTest, LateRequestsQueueBehindThoseThatCanBeInTime)
{
    add_engine(1);
    auto late = wait();
    auto const returned = request(1, Duration(700));
    late.begin(returned, m_now);
    ASSERT_TRUE(late.join(returned, m_now));
    auto fresh = wait();
    fresh.begin(request(2), m_now);
    ASSERT_TRUE(fresh.join(request(2), m_now));
    std::vector<uint64_t> offered;
    m_queue.queue.offer([&](uint64_t number) {
        offered.push_back(number);
        return false;
    });
    EXPECT_EQ(offered, (std::vector<uint64_t> { 2, 1 }));
    EXPECT_EQ(m_queue.late_count, 1u);
    late.leave();
    EXPECT_EQ(m_queue.late_count, 0u);
}

TEST_F(SlotWaitTest, ALateRequestIsRefusedOnceSpareSlotsAreTooRare)
{
    add_engine(1);
    auto wait = this->wait();
    auto const returned = request(1, Duration(700));
    wait.begin(returned, m_now);
    ASSERT_TRUE(wait.join(returned, m_now));
    EXPECT_FALSE(wait.should_refuse(returned, NoServer::AllFull, m_now));
    EXPECT_TRUE(wait.should_refuse(returned, NoServer::AllFull, m_now + Duration(3000)));
}

// A long prompt that becomes late sooner than short ones is overtaken by all that arrive meanwhile, as long as engines are full.
TEST_F(SlotWaitTest, LongAndShortPromptsBecomeLateAtTheSameMoment)
{
    add_engine(1);
    auto wait = this->wait();
    wait.begin(request(1), m_now);
    for (auto waited = Duration(0); waited < Duration(400); waited += Duration(10)) {
        auto longer = request(1);
        longer.prompt_tokens = 9000;
        EXPECT_EQ(wait.has_become_late(longer, m_now + waited), wait.has_become_late(request(1), m_now + waited));
    }
}

TEST_F(SlotWaitTest, ARequestBecomesLateOnceTheFirstEventCannotComeInTime)
{
    add_engine(1);
    auto wait = this->wait();
    auto const fresh = request(1);
    wait.begin(fresh, m_now);
    ASSERT_TRUE(wait.join(fresh, m_now));
    EXPECT_FALSE(wait.has_become_late(fresh, m_now));
    EXPECT_TRUE(wait.has_become_late(fresh, m_now + Duration(390)));
}

TEST_F(SlotWaitTest, AFullQueueRefusesFurtherRequests)
{
    add_engine(1);
    std::vector<SlotWait> waits(5, wait());
    for (uint64_t number = 0; number < 5; ++number) {
        waits[number].begin(request(number), m_now);
        EXPECT_EQ(waits[number].join(request(number), m_now), number < 4) << number;
    }
}

TEST_F(SlotWaitTest, CallersRefusedTogetherRetryAtDifferentTimes)
{
    add_engine(1);
    auto const wait = this->wait();
    std::mt19937_64 random(1);
    std::set<Duration> times;
    for (int i = 0; i < 100; ++i) {
        auto const after = wait.retry_after("llm", NoServer::AllFull, m_now, random);
        EXPECT_GE(after, Duration(200));
        EXPECT_LE(after, Duration(1500));
        times.insert(after);
    }
    EXPECT_GE(times.size(), 20u);
}

// Guards against requests that wait until their deadline for a server whose limit is used up by those before them.
TEST_F(SlotWaitTest, UnderALimitOnlyRequestsWaitThatItLetsThroughInTime)
{
    add_engine(1);
    m_servers.on_answer_head("1", {}, { .max_requests_per_second = 0.5 }, m_now, m_now);
    std::vector<SlotWait> waits(4, wait());
    size_t refused = 0;
    for (uint64_t number = 0; number < 4; ++number) {
        waits[number].begin(request(number), m_now);
        if (waits[number].should_refuse(request(number), NoServer::Limited, m_now))
            refused += 1;
        else
            waits[number].join(request(number), m_now);
    }
    // Permits come each 2 s, an answer takes about a second, and callers wait 6 s.
    EXPECT_EQ(refused, 2u);
    std::mt19937_64 random(1);
    auto const after = waits[3].retry_after("llm", NoServer::Limited, m_now, random);
    EXPECT_GE(after, Duration(6000)) << "two wait before";
    EXPECT_LE(after, Duration(10000));
}

TEST_F(SlotWaitTest, CallersAreToldToRetryOnceTheRestOfAllServersIsOver)
{
    add_engine(1);
    m_servers.on_answer_head("1", {}, { .rest = Core::Duration(60000) }, m_now, m_now);
    auto wait = this->wait();
    wait.begin(request(1), m_now);
    EXPECT_TRUE(wait.should_refuse(request(1), NoServer::Limited, m_now)) << "its caller waits 6 s";
    std::mt19937_64 random(1);
    std::set<Duration> times;
    for (int i = 0; i < 100; ++i) {
        auto const after = wait.retry_after("llm", NoServer::Limited, m_now, random);
        EXPECT_GE(after, Duration(60000));
        EXPECT_LE(after, Duration(65000));
        times.insert(after);
    }
    EXPECT_GE(times.size(), 20u);
}
