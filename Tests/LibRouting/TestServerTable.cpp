// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/ServerTable.h>
#include <gtest/gtest.h>

using namespace Routing;

static Schema::EngineTiming engine_timing()
{
    Schema::EngineTiming timing {};
    timing.slots = 4;
    timing.stride = 5;
    timing.step_ms = 9;
    timing.per_sequence_ms = 0.04;
    timing.prompt_tokens_per_second = 19000;
    timing.usual_prompt_tokens = 900;
    timing.usual_answer_tokens = 90;
    timing.model = "m";
    timing.layers = 16;
    return timing;
}

static Schema::BackendServer engine(std::string const& id, std::string const& domain, int64_t version = 1)
{
    Schema::BackendServer server {};
    server.id = id;
    server.service = "llm";
    server.address = "10.0.0." + id + ":80";
    server.failure_domain = domain;
    server.slots = 4;
    if (version > 0)
        server.held = { { .end_layer = 16, .first_layer = 0, .model = "m", .version = version } };
    return server;
}

class ServerTableTest : public testing::Test {
protected:
    ServerTableTest()
        : m_table({ .failure_domain = "a", .region = "ra", .regions = { { "a", "ra" }, { "b", "rb" } } }, 1)
    {
        m_table.set_timing("llm", engine_timing());
    }

    tl::expected<ServerChoice, NoServer> choose(std::optional<int64_t> version = {}, std::set<std::string> excluded = {})
    {
        return m_table.choose({ .service = "llm", .required_version = version, .newest_version = 0, .prompt_tokens = 900, .excluded = std::move(excluded) }, m_now);
    }

    ServerTable m_table;
    Core::Time m_now { 1000 };
};

TEST_F(ServerTableTest, DrainingEmptyAndPartlyLoadedEnginesGetNoWork)
{
    auto draining = engine("1", "a");
    draining.is_draining = true;
    auto partly_loaded = engine("3", "a");
    partly_loaded.held[0].end_layer = 15;
    m_table.set_server(draining, m_now);
    m_table.set_server(engine("2", "a", 0), m_now);
    m_table.set_server(partly_loaded, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
    m_table.set_server(engine("4", "b"), m_now);
    EXPECT_EQ(choose()->id, "4");
}

TEST_F(ServerTableTest, AnOlderVersionThanRequiredGetsNoWork)
{
    m_table.set_server(engine("1", "a", 1), m_now);
    EXPECT_EQ(choose(2).error(), NoServer::NoneUsable);
    m_table.set_server(engine("1", "a", 3), m_now);
    EXPECT_EQ(choose(2)->id, "1");
}

TEST_F(ServerTableTest, TheAgentsReportOfTheVersionOverridesTheListUntilItIsOutdated)
{
    m_table.set_server(engine("1", "a", 1), m_now);
    Schema::EngineState state {};
    state.version = 2;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_TRUE(choose(2).has_value());
    m_now += Core::Duration(10000);
    EXPECT_FALSE(choose(2).has_value());
}

// Guards against requests on a load that the agent ordered and did not live to check.
TEST_F(ServerTableTest, AVersionLoadedSinceTheAgentsLastReportIsNotUsedWhileTheAgentIsSilent)
{
    m_table.set_server(engine("1", "a", 1), m_now);
    Schema::EngineState state {};
    state.version = 1;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    m_table.on_agent_disconnected("10.0.0.1");
    EXPECT_TRUE(choose().has_value());
    m_table.set_server(engine("1", "a", 2), m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
    state.version = 2;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_TRUE(choose(2).has_value());
    m_table.on_agent_disconnected("10.0.0.1");
    EXPECT_TRUE(choose(2).has_value());
}

TEST_F(ServerTableTest, AnEngineThatExecutesAnOrderGetsNoWork)
{
    m_table.set_server(engine("1", "a"), m_now);
    Schema::EngineState state {};
    state.version = 1;
    state.is_busy = true;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
}

TEST_F(ServerTableTest, RequestsOfOtherEntriesCountAndThoseOfThisEntryAreCountedOnce)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    Schema::EngineState state {};
    state.version = 1;
    state.running = 4;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    // Three requests of other entries and one of this entry fill the four slots. One more may queue inside the engine.
    EXPECT_TRUE(choose().has_value());
    m_table.on_sent("r2", { .id = "1" }, 900, m_now);
    EXPECT_EQ(choose().error(), NoServer::AllFull);
    m_table.on_ended("1", "r1", ServerOutcome::Success, m_now);
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, WithoutAReportAnEntryTakesItsShareOnly)
{
    m_table.set_entries(2);
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    EXPECT_TRUE(choose().has_value());
    m_table.on_sent("r2", { .id = "1" }, 900, m_now);
    EXPECT_EQ(choose().error(), NoServer::AllFull);
}

TEST_F(ServerTableTest, NearEnginesArePreferredUntilTheyAreSlower)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "b"), m_now);
    EXPECT_EQ(choose()->id, "1");
    m_table.on_sent("r1", { .id = "1" }, 3000, m_now);
    EXPECT_EQ(choose()->id, "2");
    m_table.on_first_event("1", "r1", m_now);
    EXPECT_EQ(choose()->id, "1");
}

TEST_F(ServerTableTest, AnUnreachableServerIsSuspendedForAWhile)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r1", ServerOutcome::Unreachable, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
    m_now += Core::Duration(5000);
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, AServerThatFailsOftenIsAvoidedWhileOthersAnswer)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "a"), m_now);
    for (int i = 0; i < 6; ++i) {
        m_table.on_ended("1", "r", ServerOutcome::Failure, m_now);
        m_table.on_ended("1", "r", ServerOutcome::Success, m_now);
    }
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(choose()->id, "2");
    EXPECT_EQ(choose({}, { "2" })->id, "1");
}

TEST_F(ServerTableTest, AnEngineThatHasYetToReachTheNewestVersionIsUsedOnlyOnItsAgentsWord)
{
    m_table.set_server(engine("1", "a", 1), m_now);
    ServerRequirements requirements { .service = "llm", .required_version = {}, .newest_version = 1, .prompt_tokens = 900, .excluded = {} };
    EXPECT_TRUE(m_table.choose(requirements, m_now).has_value());
    requirements.newest_version = 2;
    EXPECT_FALSE(m_table.choose(requirements, m_now).has_value());

    Schema::EngineState state {};
    state.version = 1;
    state.pace = 1;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_TRUE(m_table.choose(requirements, m_now).has_value());

    // The agent froze together with its engine: the list record alone is no reason to send requests there.
    m_now += Core::Duration(5000);
    EXPECT_FALSE(m_table.choose(requirements, m_now).has_value());

    // What it loaded since, by an order that the agent sent before, is not known to be whole.
    m_table.set_server(engine("1", "a", 2), m_now);
    EXPECT_FALSE(m_table.choose(requirements, m_now).has_value());
    state.version = 2;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_TRUE(m_table.choose(requirements, m_now).has_value());
}

TEST_F(ServerTableTest, OwnedEnginesArePreferredToHelpedOnesAndTheseToOthersUntilTheyAreSlower)
{
    for (auto const* id : { "1", "2", "3" }) {
        auto server = engine(id, "a");
        server.slots = 12;
        m_table.set_server(server, m_now);
        Schema::EngineState state {};
        state.version = 1;
        m_table.on_engine_state("10.0.0." + std::string(id), state, m_now);
    }
    m_table.set_roles({ { "2", EngineRole::Owner }, { "3", EngineRole::Helper } });
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(choose()->id, "2");
    m_table.on_sent("r1", { .id = "2" }, 900, m_now);
    m_table.on_sent("r2", { .id = "2" }, 900, m_now);
    EXPECT_EQ(choose()->id, "3");
    // With the preferred engines excluded, the remaining one is used.
    EXPECT_EQ(choose({}, { "2", "3" })->id, "1");
}

TEST_F(ServerTableTest, AServerIsSuspendedAfterTwoMisdirectedAttemptsInARow)
{
    m_table.set_server(engine("1", "a"), m_now);
    auto refuse = [&] {
        m_table.on_sent("r", { .id = "1" }, 900, m_now);
        m_table.on_ended("1", "r", ServerOutcome::Misdirected, m_now);
    };
    refuse();
    // A single misdirected attempt may be due to a version that has just changed.
    EXPECT_TRUE(choose().has_value());
    EXPECT_FALSE(m_table.is_repeatedly_misdirected("1"));
    refuse();
    EXPECT_FALSE(choose().has_value());
    EXPECT_TRUE(m_table.is_repeatedly_misdirected("1"));
    m_table.on_sent("r", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r", ServerOutcome::Success, m_now);
    EXPECT_FALSE(m_table.is_repeatedly_misdirected("1"));
}

TEST_F(ServerTableTest, AServerIsAnsweringWhileItsLastBytesAreRecent)
{
    m_table.set_server(engine("1", "a"), m_now);
    EXPECT_FALSE(m_table.is_answering("1", m_now));
    m_table.on_received("1", m_now);
    EXPECT_TRUE(m_table.is_answering("1", m_now + Core::Duration(500)));
    EXPECT_FALSE(m_table.is_answering("1", m_now + Core::Duration(700)));
}

TEST_F(ServerTableTest, AServiceWithoutConfiguredRatesIsServed)
{
    Schema::EngineTiming timing_without_rates {};
    timing_without_rates.model = "m";
    m_table.set_timing("llm", timing_without_rates);
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "a"), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    EXPECT_EQ(choose()->id, "2");
    EXPECT_GT(choose()->predicted, Core::Duration(0));
}

TEST_F(ServerTableTest, AnEngineOfAServiceWithoutAKnownModelGetsNoWork)
{
    // Without the service's model it is unknown which version must be served there.
    auto unconfigured_engine = engine("1", "a");
    unconfigured_engine.service = "unread";
    m_table.set_server(unconfigured_engine, m_now);
    ServerRequirements requirements;
    requirements.service = "unread";
    EXPECT_FALSE(m_table.choose(requirements, m_now).has_value());
}

TEST_F(ServerTableTest, ARequestIsNotSentWhereItsFirstEventIsPredictedTooLate)
{
    m_table.set_server(engine("1", "a"), m_now);
    for (auto const* request : { "r1", "r2", "r3" })
        m_table.on_sent(request, { .id = "1" }, 3000, m_now);
    ServerRequirements requirements;
    requirements.service = "llm";
    requirements.prompt_tokens = 900;
    auto const unlimited = m_table.choose(requirements, m_now);
    ASSERT_TRUE(unlimited.has_value());
    requirements.max_time_to_first_event = unlimited->predicted - Core::Duration(1);
    EXPECT_EQ(m_table.choose(requirements, m_now).error(), NoServer::NoneInTime);
    requirements.max_time_to_first_event = unlimited->predicted + Core::Duration(1);
    EXPECT_TRUE(m_table.choose(requirements, m_now).has_value());
}

// Judged by its own prefill, a long prompt finds no engine in time at a load at which short ones still do, and is put behind them for good.
TEST_F(ServerTableTest, LongAndShortPromptsAreInTimeAtTheSameEngines)
{
    m_table.set_server(engine("1", "a"), m_now);
    for (auto const* request : { "r1", "r2", "r3" })
        m_table.on_sent(request, { .id = "1" }, 3000, m_now);
    ServerRequirements typical;
    typical.service = "llm";
    typical.prompt_tokens = 2000;
    auto const predicted = m_table.choose(typical, m_now)->predicted;
    for (int64_t prompt_tokens : { 50, 2000, 9000 }) {
        ServerRequirements requirements;
        requirements.service = "llm";
        requirements.prompt_tokens = prompt_tokens;
        requirements.prefill_allowance = PrefillAllowance { 2000, Core::Duration(1000) };
        requirements.max_time_to_first_event = predicted - Core::Duration(1);
        EXPECT_EQ(m_table.choose(requirements, m_now).error(), NoServer::NoneInTime) << prompt_tokens;
        requirements.max_time_to_first_event = predicted + Core::Duration(1);
        EXPECT_TRUE(m_table.choose(requirements, m_now).has_value()) << prompt_tokens;
    }
}

// On a slow engine the prefill of a long prompt may exceed any objective: requests must not be late there from the start.
TEST_F(ServerTableTest, TheTimeSetAsideForPrefillIsLimited)
{
    m_table.set_server(engine("1", "a"), m_now);
    ServerRequirements requirements;
    requirements.service = "llm";
    requirements.prompt_tokens = 900;
    requirements.prefill_allowance = PrefillAllowance { 100000, Core::Duration(100) };
    requirements.max_time_to_first_event = Core::Duration(400);
    EXPECT_TRUE(m_table.choose(requirements, m_now).has_value());
    requirements.prefill_allowance = PrefillAllowance { 100000, Core::Duration(1000) };
    EXPECT_EQ(m_table.choose(requirements, m_now).error(), NoServer::NoneInTime);
}

// While other prompts are read, short prompts must not get every place in turn that long ones are denied.
TEST_F(ServerTableTest, LongAndShortPromptsWaitForTheSamePauseOfRunningStreams)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_sent("r1", { .id = "1" }, 2000, m_now);
    for (int64_t prompt_tokens : { 50, 9000 }) {
        ServerRequirements requirements;
        requirements.service = "llm";
        requirements.prompt_tokens = prompt_tokens;
        requirements.prefill_allowance = PrefillAllowance { 2000, Core::Duration(1000) };
        requirements.max_event_gap = Core::Duration(200);
        EXPECT_EQ(m_table.choose(requirements, m_now).error(), NoServer::AllFull) << prompt_tokens;
        requirements.max_event_gap = Core::Duration(400);
        EXPECT_TRUE(m_table.choose(requirements, m_now).has_value()) << prompt_tokens;
    }
}

TEST_F(ServerTableTest, APromptThatWouldPauseRunningStreamsForTooLongWaits)
{
    m_table.set_server(engine("1", "a"), m_now);
    ServerRequirements requirements;
    requirements.service = "llm";
    requirements.prompt_tokens = 3000;
    // Without other pending prefill, a prompt of any length is accepted.
    requirements.max_event_gap = Core::Duration(100);
    EXPECT_TRUE(m_table.choose(requirements, m_now).has_value());
    m_table.on_sent("r1", { .id = "1" }, 3000, m_now);
    requirements.max_event_gap = Core::Duration(300);
    EXPECT_EQ(m_table.choose(requirements, m_now).error(), NoServer::AllFull);
    m_table.on_first_event("1", "r1", m_now);
    EXPECT_TRUE(m_table.choose(requirements, m_now).has_value());
}

TEST_F(ServerTableTest, LateRequestsUseOnlySpareSlots)
{
    auto large_engine = engine("1", "a");
    large_engine.slots = 6;
    m_table.set_server(large_engine, m_now);
    ServerRequirements late;
    late.service = "llm";
    late.uses_only_spare_slots = true;
    EXPECT_TRUE(m_table.choose(late, m_now).has_value());
    // Pending prefill of another prompt goes first.
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    EXPECT_FALSE(m_table.choose(late, m_now).has_value());
    m_table.on_first_event("1", "r1", m_now);
    EXPECT_TRUE(m_table.choose(late, m_now).has_value());
    // The last free slots stay reserved as well.
    for (auto const* request : { "r2", "r3", "r4" }) {
        m_table.on_sent(request, { .id = "1" }, 900, m_now);
        m_table.on_first_event("1", request, m_now);
    }
    EXPECT_FALSE(m_table.choose(late, m_now).has_value());
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, EntriesThatDoNotOwnAnEngineShareItsReportedFreeSlots)
{
    auto large_engine = engine("1", "a");
    large_engine.slots = 16;
    m_table.set_server(large_engine, m_now);
    m_table.set_entries(5);
    m_table.set_roles({ { "1", EngineRole::Helper } });
    Schema::EngineState state {};
    state.version = 1;
    state.running = 3;
    auto sent_until_full = [&] {
        m_table.on_engine_state("10.0.0.1", state, m_now);
        int64_t sent = 0;
        while (sent < 20 && choose().has_value()) {
            auto const request = "r" + std::to_string(sent++);
            m_table.on_sent(request, { .id = "1" }, 10, m_now);
            m_table.on_first_event("1", request, m_now);
        }
        return sent;
    };
    // Of the nine free slots beside the reserve, two helpers and the owner take three each.
    EXPECT_EQ(sent_until_full(), 3);
    m_table.set_roles({});
    state.running += 3;
    EXPECT_EQ(sent_until_full(), 1);
    state.running = 12;
    EXPECT_EQ(sent_until_full(), 0);
}

TEST_F(ServerTableTest, AnEngineThatLoadsOrIsEmptyIsExpectedToServeSoon)
{
    m_table.set_server(engine("1", "a", 0), m_now);
    EXPECT_EQ(m_table.time_until_next_engine("llm", m_now), std::nullopt);
    Schema::EngineState state {};
    m_table.on_engine_state("10.0.0.1", state, m_now);
    auto const empty = m_table.time_until_next_engine("llm", m_now);
    state.is_busy = true;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    auto const loading = m_table.time_until_next_engine("llm", m_now);
    ASSERT_TRUE(empty.has_value() && loading.has_value());
    EXPECT_LT(*loading, *empty);
    state.is_busy = false;
    state.version = 1;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_EQ(m_table.time_until_next_engine("llm", m_now), std::nullopt);
}

TEST_F(ServerTableTest, ConnectionsThatStopDeliveringTogetherCountAsOneFault)
{
    m_table.set_server(engine("1", "a"), m_now);
    for (auto const* request : { "r1", "r2", "r3", "r4" }) {
        auto const choice = choose();
        ASSERT_TRUE(choice.has_value());
        m_table.on_sent(request, *choice, 900, m_now);
    }
    m_now += Core::Duration(1000);
    m_table.on_ended("1", "r1", ServerOutcome::Unreachable, m_now);
    auto const first_fault = m_now;
    for (auto const* request : { "r2", "r3", "r4" }) {
        m_now += Core::Duration(20);
        m_table.on_ended("1", request, ServerOutcome::Unreachable, m_now);
    }
    EXPECT_FALSE(choose().has_value());
    m_now = first_fault + Core::Duration(400);
    auto const again = choose();
    ASSERT_TRUE(again.has_value());
    // A request that is sent afterwards and gets no answer either is a separate fault.
    m_table.on_sent("r5", *again, 900, m_now);
    m_now += Core::Duration(1000);
    m_table.on_ended("1", "r5", ServerOutcome::Unreachable, m_now);
    m_now += Core::Duration(400);
    EXPECT_FALSE(choose().has_value());
}

TEST_F(ServerTableTest, ASilentServerIsLeftAloneUntilItIsHeardOfAgain)
{
    m_table.set_server(engine("1", "a"), m_now);
    auto const choice = choose();
    ASSERT_TRUE(choice.has_value());
    m_table.on_sent("r1", *choice, 900, m_now);
    m_now += Core::Duration(1000);
    m_table.on_no_response("1", "r1", m_now);
    EXPECT_FALSE(choose().has_value());
    m_now += Core::Duration(20);
    m_table.on_received("1", m_now);
    EXPECT_TRUE(choose().has_value());
    // A second report that the same request gets no answer counts as the same fault.
    m_table.on_no_response("1", "r1", m_now);
    EXPECT_TRUE(choose().has_value());
    m_table.on_ended("1", "r1", ServerOutcome::Success, m_now);
}

TEST_F(ServerTableTest, RequestsWithoutResponseHoldNoSlotsThatTheirContinuationsNeed)
{
    m_table.set_server(engine("1", "a"), m_now);
    size_t sent = 0;
    for (auto choice = choose(); choice.has_value(); choice = choose())
        m_table.on_sent("r" + std::to_string(sent++), *choice, 900, m_now);
    ASSERT_GT(sent, 1u);
    m_now += Core::Duration(1000);
    for (size_t i = 0; i < sent; ++i)
        m_table.on_no_response("1", "r" + std::to_string(i), m_now);
    m_now += Core::Duration(400);
    for (size_t i = 0; i < sent; ++i) {
        auto const choice = choose();
        ASSERT_TRUE(choice.has_value()) << i;
        m_table.on_sent("again" + std::to_string(i), *choice, 900, m_now);
    }
}

TEST_F(ServerTableTest, BytesOfAnAnswerDoNotEndTheSuspensionOfAServerThatRefusesConnections)
{
    m_table.set_server(engine("1", "a"), m_now);
    for (auto const* request : { "r1", "r2" }) {
        auto const choice = choose();
        ASSERT_TRUE(choice.has_value());
        m_table.on_sent(request, *choice, 900, m_now);
    }
    m_now += Core::Duration(1000);
    m_table.on_no_response("1", "r1", m_now);
    m_now += Core::Duration(500);
    auto const again = choose();
    ASSERT_TRUE(again.has_value());
    m_table.on_sent("r3", *again, 900, m_now);
    m_now += Core::Duration(10);
    m_table.on_ended("1", "r3", ServerOutcome::Unreachable, m_now);
    m_table.on_received("1", m_now);
    EXPECT_FALSE(choose().has_value());
}

TEST_F(ServerTableTest, WhatIsOutOfReachIsNeverChosen)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "a"), m_now);
    Schema::BackendServer plain {};
    plain.id = "p";
    plain.service = "plain";
    plain.address = "10.0.0.9:80";
    plain.slots = 1;
    m_table.set_server(plain, m_now);
    m_table.set_selectable_engines({ "10.0.0.2" });
    EXPECT_EQ(choose().value().id, "2");
    EXPECT_EQ(choose({}, { "2" }).error(), NoServer::NoneUsable);
    EXPECT_EQ(m_table.choose({ .service = "plain" }, m_now).value().id, "p");
    m_table.set_selectable_engines({ "10.0.0.1", "10.0.0.2" });
    EXPECT_EQ(choose({}, { "2" }).value().id, "1");
}

TEST_F(ServerTableTest, AServiceHasAFreeSlotAsLongAsAServerCanBeChosen)
{
    EXPECT_FALSE(m_table.has_free_slot("llm", m_now));
    m_table.set_server(engine("1", "a"), m_now);
    EXPECT_TRUE(m_table.has_free_slot("llm", m_now));
    EXPECT_FALSE(m_table.has_free_slot("plain", m_now));
    int sent = 0;
    for (auto choice = choose(); choice.has_value(); choice = choose())
        m_table.on_sent("r" + std::to_string(++sent), *choice, 900, m_now);
    EXPECT_GT(sent, 0);
    EXPECT_FALSE(m_table.has_free_slot("llm", m_now));
    m_table.on_ended("1", "r1", ServerOutcome::Success, m_now);
    EXPECT_TRUE(m_table.has_free_slot("llm", m_now));
}

// An entry that is neither owner nor helper of an engine needs no updates of its load, once the slots beside the owner's reserve are
// fewer than the entries that would share them.
TEST_F(ServerTableTest, TheRoleDeterminesWhetherAnEngineMayBeUsed)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_entries(20);
    EXPECT_TRUE(m_table.may_use("1"));
    m_table.set_roles({});
    EXPECT_FALSE(m_table.may_use("1"));
    m_table.set_roles({ { "1", EngineRole::Owner } });
    EXPECT_TRUE(m_table.may_use("1"));
    EXPECT_FALSE(m_table.may_use("unknown"));
}

static Schema::BackendServer started_at(int64_t started_at_ms, Schema::BackendServer server)
{
    server.started_at_ms = started_at_ms;
    return server;
}

static Schema::EngineState state_of(int64_t started_at_ms, int64_t version, int64_t running = 0)
{
    Schema::EngineState state {};
    state.started_at_ms = started_at_ms;
    state.version = version;
    state.running = running;
    state.pace = 1;
    return state;
}

TEST_F(ServerTableTest, ANewIncarnationHasNoneOfThePreviousOnesFaults)
{
    m_table.set_server(started_at(1000, engine("1", "a")), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    m_table.on_sent("r2", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r1", ServerOutcome::Unreachable, m_now);
    EXPECT_FALSE(choose().has_value());
    m_table.set_server(started_at(2000, engine("1", "a")), m_now);
    EXPECT_TRUE(choose().has_value());
    // An attempt at the previous incarnation ends now, which says nothing about the present one.
    m_table.on_ended("1", "r2", ServerOutcome::Unreachable, m_now);
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, TheSameIncarnationListedAgainKeepsItsFaults)
{
    m_table.set_server(started_at(1000, engine("1", "a")), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r1", ServerOutcome::Unreachable, m_now);
    m_table.set_server(started_at(1000, engine("1", "b")), m_now);
    EXPECT_FALSE(choose().has_value());
    // A list record without a start doesn't count as a new incarnation either.
    m_table.set_server(engine("1", "a"), m_now);
    EXPECT_FALSE(choose().has_value());
}

TEST_F(ServerTableTest, RequestsSentToThePreviousIncarnationHoldNoSlot)
{
    m_table.set_server(started_at(1000, engine("1", "a")), m_now);
    for (int i = 0; i < 5; ++i)
        m_table.on_sent("r" + std::to_string(i), { .id = "1" }, 900, m_now);
    EXPECT_EQ(choose().error(), NoServer::AllFull);
    m_table.set_server(started_at(2000, engine("1", "a")), m_now);
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, AReportOfThePreviousIncarnationDoesNotApplyToTheListedOne)
{
    m_table.set_server(started_at(1000, engine("1", "a")), m_now);
    m_table.on_engine_state("10.0.0.1", state_of(1000, 3), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 3);
    m_table.set_server(started_at(2000, engine("1", "a", 0)), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 0);
    m_table.on_engine_state("10.0.0.1", state_of(2000, 2), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 2);
    // A delayed report of the previous incarnation is ignored.
    m_table.on_engine_state("10.0.0.1", state_of(1000, 3), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 2);
}

TEST_F(ServerTableTest, AReportOfANewIncarnationDropsTheStateOfThePreviousOne)
{
    m_table.set_server(started_at(1000, engine("1", "a", 3)), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r1", ServerOutcome::Unreachable, m_now);
    m_table.on_engine_state("10.0.0.1", state_of(2000, 3), m_now);
    EXPECT_TRUE(choose(3).has_value());
    // Without the agent's report there is only the list record, which is of the previous incarnation.
    m_table.on_agent_disconnected("10.0.0.1");
    EXPECT_EQ(m_table.version_of("1", m_now), 0);
    EXPECT_FALSE(choose().has_value());
    // A heartbeat of the previous incarnation doesn't replace the latest one.
    m_table.set_server(started_at(1000, engine("1", "b", 3)), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 0);
    m_table.set_server(started_at(2000, engine("1", "a", 2)), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 2);
}

static Schema::EngineState unchecked(int64_t started_at_ms, int64_t version)
{
    auto state = state_of(started_at_ms, 0);
    state.is_version_known = true;
    state.unchecked_version = version;
    return state;
}

// Guards against requests at a bad load that an agent found at its start, because the one before ended before it checked that load.
TEST_F(ServerTableTest, ALoadThatCameSinceTheLastStatementServesNothingUntilItsCheck)
{
    m_table.set_server(engine("1", "a", 2), m_now);
    m_table.on_engine_state("10.0.0.1", state_of(1000, 2), m_now);
    EXPECT_TRUE(choose().has_value());
    m_table.on_agent_disconnected("10.0.0.1");
    for (int reports = 0; reports < 2; ++reports) {
        m_table.on_engine_state("10.0.0.1", unchecked(1000, 3), m_now);
        EXPECT_EQ(m_table.version_of("1", m_now), 0);
        EXPECT_FALSE(choose().has_value());
    }
    m_table.on_engine_state("10.0.0.1", state_of(1000, 3), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 3);
}

TEST_F(ServerTableTest, AnUncheckedLoadOfAnEngineOfWhichNothingIsKnownServes)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_engine_state("10.0.0.1", unchecked(1000, 3), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 3);
    m_table.on_engine_state("10.0.0.1", unchecked(2000, 2), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 2);
}

TEST_F(ServerTableTest, ALoadThatTheAgentBeforeHadCheckedGoesOnServing)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_engine_state("10.0.0.1", state_of(1000, 3), m_now);
    m_table.on_agent_disconnected("10.0.0.1");
    // An agent that has just started knows neither its engine's report nor the goal.
    auto unknown = state_of(1000, 0);
    unknown.is_version_known = false;
    m_table.on_engine_state("10.0.0.1", unknown, m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 0);
    m_table.on_engine_state("10.0.0.1", unchecked(1000, 3), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 3);
    m_table.on_engine_state("10.0.0.1", unchecked(1000, 3), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 3);
    // Its check finds that the load may be bad. The agent after it knows nothing of that.
    m_table.on_engine_state("10.0.0.1", state_of(1000, 0), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 0);
    m_table.on_engine_state("10.0.0.1", unchecked(1000, 3), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 0);
}

TEST_F(ServerTableTest, AnAgentThatKeepsReportingAnEarlierStartIsTrustedEventually)
{
    m_table.set_server(started_at(2000, engine("1", "a", 3)), m_now);
    m_table.on_engine_state("10.0.0.1", state_of(2000, 3), m_now);
    // The clock of the instance was set back between the two starts.
    for (int i = 0; i < 10; ++i) {
        m_now += Core::Duration(1000);
        m_table.on_engine_state("10.0.0.1", state_of(1000, 2), m_now);
    }
    EXPECT_EQ(m_table.version_of("1", m_now), 2);
}

TEST_F(ServerTableTest, AListRecordOfALeavingIncarnationDoesNotExcludeTheNextOne)
{
    auto leaving = started_at(1000, engine("1", "a"));
    leaving.is_draining = true;
    m_table.set_server(leaving, m_now);
    m_table.on_engine_state("10.0.0.1", state_of(1000, 1), m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
    m_table.on_engine_state("10.0.0.1", state_of(2000, 1), m_now);
    EXPECT_TRUE(choose().has_value());
    // A list of which only the newest records are read may never show the successor's first record.
    m_table.set_server(leaving, m_now);
    EXPECT_TRUE(choose().has_value());
    leaving.started_at_ms = 2000;
    m_table.set_server(leaving, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
}

TEST_F(ServerTableTest, TemporarilyUnavailableServersCountAsFullAndAvoidedOnesAreChosenLast)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "b"), m_now);
    ServerRequirements requirements { .service = "llm" };
    requirements.prompt_tokens = 900;
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "1");
    requirements.avoided = { "1" };
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "2");
    requirements.avoided = { "1", "2" };
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "1") << "an avoided server is better than none";
    requirements.temporarily_unavailable = { "1" };
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "2");
    requirements.temporarily_unavailable = { "1", "2" };
    EXPECT_EQ(m_table.choose(requirements, m_now).error(), NoServer::AllFull) << "temporarily unavailable servers count as full";
}

TEST_F(ServerTableTest, ARequestThatMayTerminateItsServerGoesToTheLeastLoadedOne)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "b"), m_now);
    m_table.on_sent("r", { "1" }, 100, m_now);
    m_table.on_first_event("1", "r", m_now);
    ServerRequirements requirements { .service = "llm" };
    requirements.prompt_tokens = 900;
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "1");
    requirements.prefers_idle_servers = true;
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "2");
}

TEST_F(ServerTableTest, ALimitedServerIsChosenOnlyWithAPermit)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_answer_head("1", {}, { .max_requests_per_second = 2.0 }, m_now, m_now);
    ASSERT_FALSE(choose().has_value());
    EXPECT_EQ(choose().error(), NoServer::Limited);
    EXPECT_FALSE(m_table.has_free_slot("llm", m_now));
    EXPECT_EQ(m_table.permits().take_wanted(m_now), (std::map<std::string, int64_t> { { "1", 2 } })) << "once for each choice";
    m_table.permits().add_permits("1", 1, m_now);
    ASSERT_TRUE(choose().has_value());
    m_table.on_sent("r", *choose(), 900, m_now);
    EXPECT_EQ(choose().error(), NoServer::Limited);
}

TEST_F(ServerTableTest, OtherServersServeWhileOneIsLimited)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "b"), m_now);
    m_table.on_answer_head("1", {}, { .max_requests_per_second = 0.1 }, m_now, m_now);
    for (int i = 0; i < 4; ++i) {
        auto const choice = choose();
        ASSERT_TRUE(choice.has_value());
        EXPECT_EQ(choice->id, "2");
        m_table.on_sent(std::to_string(i), *choice, 900, m_now);
    }
    m_table.on_ended("2", "0", ServerOutcome::Success, m_now);
    std::map<std::string, int64_t> const one_permit { { "1", 1 } };
    EXPECT_EQ(m_table.permits().take_wanted(m_now), one_permit) << "to learn when the limit ends";
    m_now += Core::Duration(4000);
    ASSERT_TRUE(choose().has_value());
    EXPECT_TRUE(m_table.permits().take_wanted(m_now).empty());
    m_now += Core::Duration(1000);
    ASSERT_TRUE(choose().has_value());
    EXPECT_EQ(m_table.permits().take_wanted(m_now), one_permit);
}

TEST_F(ServerTableTest, ALimitOutlivesAListThatLapsesAndEndsWithTheIncarnation)
{
    auto listed = engine("1", "a");
    listed.started_at_ms = 5000;
    m_table.set_server(listed, m_now);
    m_table.on_answer_head("1", 5000, { .max_requests_per_second = 2.0 }, m_now, m_now);
    m_table.remove_server("1");
    m_table.set_server(listed, m_now);
    EXPECT_EQ(choose().error(), NoServer::Limited);
    listed.started_at_ms = 6000;
    m_table.set_server(listed, m_now);
    EXPECT_TRUE(choose().has_value());
    m_table.on_answer_head("1", 5000, { .max_requests_per_second = 2.0 }, m_now, m_now);
    EXPECT_TRUE(choose().has_value()) << "an answer of the earlier incarnation";
}

TEST_F(ServerTableTest, TheWaitUnderLimitsCountsAllEntriesAndAllLimitedServers)
{
    Schema::BackendServer plain {};
    plain.service = "plain";
    plain.slots = 4;
    for (auto const* id : { "p1", "p2" }) {
        plain.id = id;
        m_table.set_server(plain, m_now);
    }
    EXPECT_EQ(m_table.limited_wait("plain", 1, m_now), std::nullopt);
    m_table.set_entries(10);
    m_table.on_answer_head("p1", {}, { .max_requests_per_second = 4.0 }, m_now, m_now);
    EXPECT_EQ(m_table.limited_wait("plain", 1, m_now), Core::Duration(2500));
    m_table.on_answer_head("p2", {}, { .max_requests_per_second = 1.0 }, m_now, m_now);
    EXPECT_EQ(m_table.limited_wait("plain", 1, m_now), Core::Duration(2000));
    EXPECT_EQ(m_table.limited_wait("plain", 3, m_now), Core::Duration(6000));
}

// Guards against requests that are refused since all entries count as waiting for permits, although few of them do.
TEST_F(ServerTableTest, TheWaitUnderLimitsCountsTheEntriesThatWait)
{
    Schema::BackendServer plain {};
    plain.service = "plain";
    plain.slots = 4;
    for (auto const* id : { "p1", "p2" }) {
        plain.id = id;
        m_table.set_server(plain, m_now);
        m_table.on_answer_head(id, {}, { .max_requests_per_second = 2.0 }, m_now, m_now);
    }
    m_table.set_entries(12);
    ServerRequirements requirements;
    requirements.service = "plain";
    EXPECT_EQ(m_table.choose(requirements, m_now).error(), NoServer::Limited);
    EXPECT_EQ(m_table.limited_wait("plain", 1, m_now), Core::Duration(250)) << "the issuers' answers are on their way";
    EXPECT_EQ(m_table.limited_wait("plain", 2, m_now), Core::Duration(6000)) << "further requests don't wait on a guess";
    m_table.permits().on_demand("p1", 4, m_now);
    m_table.permits().on_demand("p2", 4, m_now);
    EXPECT_EQ(m_table.limited_wait("plain", 1, m_now), Core::Duration(1000));
    EXPECT_EQ(m_table.limited_wait("plain", 3, m_now), Core::Duration(3000));
}

TEST_F(ServerTableTest, AServerThatStatesThatItLeavesGetsNothingUntilItsNextIncarnation)
{
    auto listed = engine("1", "a");
    listed.started_at_ms = 5000;
    m_table.set_server(listed, m_now);
    m_table.on_answer_head("1", 5000, { .has_unreadable_limit = true, .is_leaving = true }, m_now, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
    EXPECT_TRUE(m_table.is_leaving("1"));
    EXPECT_EQ(m_table.take_newly_leaving(), std::set<std::string> { "1" });
    m_table.on_answer_head("1", 5000, {}, m_now, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable) << "leaving is final";
    m_table.remove_server("1");
    m_table.set_server(listed, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable) << "the list lapsed";
    listed.started_at_ms = 6000;
    m_table.set_server(listed, m_now);
    EXPECT_TRUE(choose().has_value());
    m_table.on_answer_head("1", 5000, { .is_leaving = true }, m_now, m_now);
    EXPECT_TRUE(choose().has_value()) << "an answer of the earlier incarnation";
}

// Guards against a leaving server that gets requests again: its list record has lapsed, and a peer's late message names the incarnation before.
TEST_F(ServerTableTest, AStatementOfAnEarlierIncarnationReplacesNoLaterOne)
{
    m_table.on_answer_head("1", 5000, { .rest = Core::Duration(9000), .is_leaving = true }, m_now, m_now);
    m_table.on_peer_saw_leaving("1", 4000, m_now);
    m_table.on_answer_head("1", 4000, { .rest = Core::Duration(99000) }, m_now, m_now);
    EXPECT_EQ(m_table.stated_leaving().at("1"), 5000);
    auto record = engine("1", "a");
    record.started_at_ms = 5000;
    m_table.set_server(record, m_now);
    EXPECT_TRUE(m_table.is_leaving("1"));
}

TEST_F(ServerTableTest, ALeavingServerThatAnotherEntrySawIsTheIncarnationThatItSaw)
{
    auto listed = engine("1", "a");
    listed.started_at_ms = 5000;
    m_table.set_server(listed, m_now);
    m_table.on_peer_saw_leaving("1", 4000, m_now);
    EXPECT_TRUE(choose().has_value());
    m_table.on_peer_saw_leaving("1", 5000, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
    EXPECT_TRUE(m_table.take_newly_leaving().empty()) << "the other entry announces it";
}

TEST_F(ServerTableTest, AServerThatAsksForRestIsChosenAgainOnceItIsOver)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "b"), m_now);
    m_table.on_answer_head("1", {}, { .rest = Core::Duration(3000) }, m_now, m_now);
    EXPECT_EQ(choose()->id, "2");
    EXPECT_EQ(m_table.time_until_rest_ends("llm", m_now), std::nullopt) << "one does not rest";
    m_table.on_answer_head("2", {}, { .rest = Core::Duration(1000) }, m_now, m_now);
    EXPECT_EQ(choose().error(), NoServer::Limited);
    EXPECT_FALSE(m_table.has_free_slot("llm", m_now));
    EXPECT_EQ(m_table.time_until_rest_ends("llm", m_now), Core::Duration(1000));
    m_table.on_answer_head("1", {}, { .rest = Core::Duration(500) }, m_now, m_now);
    m_now += Core::Duration(1000);
    EXPECT_EQ(choose()->id, "2");
    m_table.on_answer_head("1", {}, {}, m_now, m_now);
    m_now += Core::Duration(1999);
    EXPECT_EQ(choose({}, { "2" }).error(), NoServer::Limited) << "neither a shorter rest nor an answer without one ends the first";
    m_now += Core::Duration(1);
    EXPECT_EQ(choose({}, { "2" })->id, "1");
}

TEST_F(ServerTableTest, ARestIsThatOfTheIncarnationAndOutlivesTheList)
{
    auto listed = engine("1", "a");
    listed.started_at_ms = 5000;
    m_table.set_server(listed, m_now);
    m_table.on_answer_head("1", 5000, { .rest = Core::Duration(3000) }, m_now, m_now);
    m_table.remove_server("1");
    m_table.set_server(listed, m_now);
    EXPECT_EQ(choose().error(), NoServer::Limited);
    listed.started_at_ms = 6000;
    m_table.set_server(listed, m_now);
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, AServerThatLeavesWhileItRestsStillLeavesAfterwards)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_answer_head("1", {}, { .rest = Core::Duration(1000), .is_leaving = true }, m_now, m_now);
    m_now += Core::Duration(2000);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
}

// Guards against overload by work that nobody gets: after a loss of all instances slow engines were sent what they could not end in time.
TEST_F(ServerTableTest, ARequestThatASlowEngineCannotEndInTimeGoesToAFastOne)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "b"), m_now);
    Schema::EngineState state {};
    state.version = 1;
    state.pace = 5;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    ServerRequirements requirements { .service = "llm", .prompt_tokens = 10, .answer_tokens = 200, .max_time_to_end = Core::Duration(6000) };
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "2");
    requirements.excluded = { "2" };
    EXPECT_EQ(m_table.choose(requirements, m_now).error(), NoServer::NoneInTime);
    requirements.answer_tokens = 20;
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "1");
    requirements.answer_tokens = 0;
    requirements.max_answer_tokens = 20;
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "1") << "a usual answer is longer than what the caller accepts";
    state.pace = 1;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    requirements.answer_tokens = 2000;
    EXPECT_EQ(m_table.choose(requirements, m_now)->id, "1") << "the engine is not slow";
}

// Guards against refusals by the time of an ordinary engine while all are slow, and by that of a slow one while another is not.
TEST_F(ServerTableTest, TheTimeOfARequestIsThatOfTheFastestUsableEngine)
{
    m_table.set_server(engine("1", "a"), m_now);
    auto const usual = m_table.service_time("llm", 900, 90, m_now);
    Schema::EngineState state {};
    state.version = 1;
    state.pace = 4;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_NEAR(static_cast<double>(m_table.service_time("llm", 900, 90, m_now).count()), 4.0 * static_cast<double>(usual.count()), 4);
    EXPECT_EQ(m_table.slowdown("1", m_now), 4);
    m_table.set_server(engine("2", "a"), m_now);
    EXPECT_EQ(m_table.service_time("llm", 900, 90, m_now), usual);
    m_table.on_ended("2", "r1", ServerOutcome::Unreachable, m_now);
    EXPECT_GT(m_table.service_time("llm", 900, 90, m_now), usual);
}

TEST_F(ServerTableTest, AnUnusableReportOfThePaceDoesNotStopTheWaitForAnEngine)
{
    m_table.set_server(engine("1", "a"), m_now);
    Schema::EngineState state {};
    state.version = 1;
    for (auto const& [reported, counted] : { std::pair(1e9, 10.0), std::pair(0.0, 1.0), std::pair(-3.0, 1.0) }) {
        state.pace = reported;
        m_table.on_engine_state("10.0.0.1", state, m_now);
        EXPECT_EQ(m_table.slowdown("1", m_now), counted);
    }
    m_now += Core::Duration(5000);
    EXPECT_EQ(m_table.slowdown("1", m_now), 1) << "the agent is silent";
    EXPECT_EQ(m_table.slowdown("unknown", m_now), 1);
}

TEST_F(ServerTableTest, TheCensusCountsEachServerOnce)
{
    auto leaving = engine("1", "a");
    leaving.is_draining = true;
    m_table.set_server(leaving, m_now);
    m_table.set_server(engine("2", "a", 0), m_now);
    m_table.set_server(engine("3", "a", 1), m_now);
    m_table.set_server(engine("4", "a", 2), m_now);
    m_table.set_server(engine("5", "a", 2), m_now);
    m_table.on_ended("5", "r1", ServerOutcome::Unreachable, m_now);
    Schema::EngineState state {};
    state.version = 2;
    state.pace = 3;
    m_table.on_engine_state("10.0.0.4", state, m_now);
    auto const census = m_table.census({ .service = "llm", .required_version = 2 }, m_now);
    EXPECT_EQ(census.leaving, 1u);
    EXPECT_EQ(census.empty, 1u);
    EXPECT_EQ(census.outdated, 1u);
    EXPECT_EQ(census.suspended, 1u);
    EXPECT_EQ(census.open, 1u);
    EXPECT_EQ(census.greatest_pace, 3);
    EXPECT_EQ(census.to_text().rfind("open=1 full=0 silent=0 outdated=1 empty=1 loading=0 suspended=1 leaving=1 pace=3", 0), 0u) << census.to_text();
}
