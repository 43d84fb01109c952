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
    auto partly = engine("3", "a");
    partly.held[0].end_layer = 15;
    m_table.set_server(draining, m_now);
    m_table.set_server(engine("2", "a", 0), m_now);
    m_table.set_server(partly, m_now);
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

TEST_F(ServerTableTest, TheAgentsWordOnTheVersionGoesBeforeTheListUntilItIsOld)
{
    m_table.set_server(engine("1", "a", 1), m_now);
    Schema::EngineState state {};
    state.version = 2;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_TRUE(choose(2).has_value());
    m_now += Core::Duration(10000);
    EXPECT_FALSE(choose(2).has_value());
}

TEST_F(ServerTableTest, AnEngineWithAnOrderBeforeItGetsNoWork)
{
    m_table.set_server(engine("1", "a"), m_now);
    Schema::EngineState state {};
    state.version = 1;
    state.is_busy = true;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
}

TEST_F(ServerTableTest, OthersRequestsCountAndThoseOfThisEntryOnce)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    Schema::EngineState state {};
    state.version = 1;
    state.running = 4;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    // Three of others and one of its own fill four slots and leave the one that may wait.
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

TEST_F(ServerTableTest, NearGoesBeforeFarUntilTheNearOneIsTheSlower)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "b"), m_now);
    EXPECT_EQ(choose()->id, "1");
    m_table.on_sent("r1", { .id = "1" }, 3000, m_now);
    EXPECT_EQ(choose()->id, "2");
    m_table.on_first_event("1", "r1", m_now);
    EXPECT_EQ(choose()->id, "1");
}

TEST_F(ServerTableTest, AServerThatCannotBeReachedIsLeftAloneForAWhile)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r1", ServerOutcome::Unreachable, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
    m_now += Core::Duration(5000);
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, TheOneThatFailsOftenIsAvoidedWhileOthersAnswer)
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
    ServerNeeds needs { .service = "llm", .required_version = {}, .newest_version = 1, .prompt_tokens = 900, .excluded = {} };
    EXPECT_TRUE(m_table.choose(needs, m_now).has_value());
    needs.newest_version = 2;
    EXPECT_FALSE(m_table.choose(needs, m_now).has_value());

    Schema::EngineState state {};
    state.version = 1;
    state.pace = 1;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_TRUE(m_table.choose(needs, m_now).has_value());

    // The agent froze with its engine: what the list says of it is no reason to send it anything.
    m_now += Core::Duration(5000);
    EXPECT_FALSE(m_table.choose(needs, m_now).has_value());

    m_table.set_server(engine("1", "a", 2), m_now);
    EXPECT_TRUE(m_table.choose(needs, m_now).has_value());
}

TEST_F(ServerTableTest, ItsOwnEnginesGoBeforeThoseItHelpsAndTheseBeforeOthersUntilTheyAreTheSlower)
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
    // One that is not there to be used leaves the others.
    EXPECT_EQ(choose({}, { "2", "3" })->id, "1");
}

TEST_F(ServerTableTest, AServerThatIsAnotherThanListedIsLeftAloneUntilTheListIsReadAgain)
{
    m_table.set_server(engine("1", "a"), m_now);
    auto refuse = [&] {
        m_table.on_sent("r", { .id = "1" }, 900, m_now);
        m_table.on_ended("1", "r", ServerOutcome::Misdirected, m_now);
    };
    refuse();
    // Once may come of a version that changed just now.
    EXPECT_TRUE(choose().has_value());
    EXPECT_FALSE(m_table.is_doubtful("1"));
    refuse();
    EXPECT_FALSE(choose().has_value());
    EXPECT_TRUE(m_table.is_doubtful("1"));
    m_table.on_sent("r", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r", ServerOutcome::Success, m_now);
    EXPECT_FALSE(m_table.is_doubtful("1"));
}

TEST_F(ServerTableTest, AServerIsAnsweringWhileItsLastBytesAreRecent)
{
    m_table.set_server(engine("1", "a"), m_now);
    EXPECT_FALSE(m_table.is_answering("1", m_now));
    m_table.on_received("1", m_now);
    EXPECT_TRUE(m_table.is_answering("1", m_now + Core::Duration(500)));
    EXPECT_FALSE(m_table.is_answering("1", m_now + Core::Duration(700)));
}

TEST_F(ServerTableTest, AServiceOfWhichNoRateIsStatedIsServed)
{
    Schema::EngineTiming bare {};
    bare.model = "m";
    m_table.set_timing("llm", bare);
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "a"), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    EXPECT_EQ(choose()->id, "2");
    EXPECT_GT(choose()->predicted, Core::Duration(0));
}

TEST_F(ServerTableTest, AnEngineOfAServiceThatIsNotKnownToServeAModelGetsNoWork)
{
    // Without the service's model nobody knows which version must be served there.
    auto stray = engine("1", "a");
    stray.service = "unread";
    m_table.set_server(stray, m_now);
    ServerNeeds needs;
    needs.service = "unread";
    EXPECT_FALSE(m_table.choose(needs, m_now).has_value());
}

TEST_F(ServerTableTest, WhatMustBeginSoonIsNotSentWhereItWouldBeginLate)
{
    m_table.set_server(engine("1", "a"), m_now);
    for (auto const* request : { "r1", "r2", "r3" })
        m_table.on_sent(request, { .id = "1" }, 3000, m_now);
    ServerNeeds needs;
    needs.service = "llm";
    needs.prompt_tokens = 900;
    auto const whenever = m_table.choose(needs, m_now);
    ASSERT_TRUE(whenever.has_value());
    needs.begins_within = whenever->predicted - Core::Duration(1);
    EXPECT_EQ(m_table.choose(needs, m_now).error(), NoServer::NoneInTime);
    needs.begins_within = whenever->predicted + Core::Duration(1);
    EXPECT_TRUE(m_table.choose(needs, m_now).has_value());
}

TEST_F(ServerTableTest, APromptThatWouldMakeRunningStreamsPauseTooLongWaits)
{
    m_table.set_server(engine("1", "a"), m_now);
    ServerNeeds needs;
    needs.service = "llm";
    needs.prompt_tokens = 3000;
    // Alone, a prompt is read however long it is.
    needs.longest_pause = Core::Duration(100);
    EXPECT_TRUE(m_table.choose(needs, m_now).has_value());
    m_table.on_sent("r1", { .id = "1" }, 3000, m_now);
    needs.longest_pause = Core::Duration(300);
    EXPECT_EQ(m_table.choose(needs, m_now).error(), NoServer::AllFull);
    m_table.on_first_event("1", "r1", m_now);
    EXPECT_TRUE(m_table.choose(needs, m_now).has_value());
}

TEST_F(ServerTableTest, WhatIsLateAlreadyTakesOnlyPlacesThatOthersAreNotLikelyToNeed)
{
    auto spacious = engine("1", "a");
    spacious.slots = 6;
    m_table.set_server(spacious, m_now);
    ServerNeeds late;
    late.service = "llm";
    late.takes_leftover = true;
    EXPECT_TRUE(m_table.choose(late, m_now).has_value());
    // A prompt that is still being read comes first.
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    EXPECT_FALSE(m_table.choose(late, m_now).has_value());
    m_table.on_first_event("1", "r1", m_now);
    EXPECT_TRUE(m_table.choose(late, m_now).has_value());
    // So do the last places.
    for (auto const* request : { "r2", "r3", "r4" }) {
        m_table.on_sent(request, { .id = "1" }, 900, m_now);
        m_table.on_first_event("1", request, m_now);
    }
    EXPECT_FALSE(m_table.choose(late, m_now).has_value());
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, EntriesThatDoNotFillAnEngineShareTheRoomThatItsReportShows)
{
    auto spacious = engine("1", "a");
    spacious.slots = 16;
    m_table.set_server(spacious, m_now);
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
    // Of nine places beside the reserve, two helpers and the owner take three each.
    EXPECT_EQ(sent_until_full(), 3);
    m_table.set_roles({});
    state.running += 3;
    EXPECT_EQ(sent_until_full(), 1);
    state.running = 12;
    EXPECT_EQ(sent_until_full(), 0);
}

TEST_F(ServerTableTest, AnEngineThatLoadsOrIsEmptyIsExpectedSoon)
{
    m_table.set_server(engine("1", "a", 0), m_now);
    EXPECT_EQ(m_table.next_engine("llm", m_now), std::nullopt);
    Schema::EngineState state {};
    m_table.on_engine_state("10.0.0.1", state, m_now);
    auto const empty = m_table.next_engine("llm", m_now);
    state.is_busy = true;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    auto const loading = m_table.next_engine("llm", m_now);
    ASSERT_TRUE(empty.has_value() && loading.has_value());
    EXPECT_LT(*loading, *empty);
    state.is_busy = false;
    state.version = 1;
    m_table.on_engine_state("10.0.0.1", state, m_now);
    EXPECT_EQ(m_table.next_engine("llm", m_now), std::nullopt);
}

TEST_F(ServerTableTest, ConnectionsThatFellSilentTogetherCountAsOneFault)
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
    // What is sent afterwards and falls silent too is a fault of its own.
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
    m_table.on_silent("1", "r1", m_now);
    EXPECT_FALSE(choose().has_value());
    m_now += Core::Duration(20);
    m_table.on_received("1", m_now);
    EXPECT_TRUE(choose().has_value());
    // A second look at its silence is the same fault.
    m_table.on_silent("1", "r1", m_now);
    EXPECT_TRUE(choose().has_value());
    m_table.on_ended("1", "r1", ServerOutcome::Success, m_now);
}

TEST_F(ServerTableTest, SilentRequestsHoldNoPlacesThatTheirContinuationsNeed)
{
    m_table.set_server(engine("1", "a"), m_now);
    size_t sent = 0;
    for (auto choice = choose(); choice.has_value(); choice = choose())
        m_table.on_sent("r" + std::to_string(sent++), *choice, 900, m_now);
    ASSERT_GT(sent, 1u);
    m_now += Core::Duration(1000);
    for (size_t i = 0; i < sent; ++i)
        m_table.on_silent("1", "r" + std::to_string(i), m_now);
    m_now += Core::Duration(400);
    for (size_t i = 0; i < sent; ++i) {
        auto const choice = choose();
        ASSERT_TRUE(choice.has_value()) << i;
        m_table.on_sent("again" + std::to_string(i), *choice, 900, m_now);
    }
}

TEST_F(ServerTableTest, BytesOfAnAnswerDoNotMakeAServerReachableThatRefusesConnections)
{
    m_table.set_server(engine("1", "a"), m_now);
    for (auto const* request : { "r1", "r2" }) {
        auto const choice = choose();
        ASSERT_TRUE(choice.has_value());
        m_table.on_sent(request, *choice, 900, m_now);
    }
    m_now += Core::Duration(1000);
    m_table.on_silent("1", "r1", m_now);
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
    m_table.set_reach({ "10.0.0.2" });
    EXPECT_EQ(choose().value().id, "2");
    EXPECT_EQ(choose({}, { "2" }).error(), NoServer::NoneUsable);
    EXPECT_EQ(m_table.choose({ .service = "plain" }, m_now).value().id, "p");
    m_table.set_reach({ "10.0.0.1", "10.0.0.2" });
    EXPECT_EQ(choose({}, { "2" }).value().id, "1");
}

TEST_F(ServerTableTest, AServiceHasAPlaceAsLongAsOneCanBeChosen)
{
    EXPECT_FALSE(m_table.has_place("llm", m_now));
    m_table.set_server(engine("1", "a"), m_now);
    EXPECT_TRUE(m_table.has_place("llm", m_now));
    EXPECT_FALSE(m_table.has_place("plain", m_now));
    int sent = 0;
    for (auto choice = choose(); choice.has_value(); choice = choose())
        m_table.on_sent("r" + std::to_string(++sent), *choice, 900, m_now);
    EXPECT_GT(sent, 0);
    EXPECT_FALSE(m_table.has_place("llm", m_now));
    m_table.on_ended("1", "r1", ServerOutcome::Success, m_now);
    EXPECT_TRUE(m_table.has_place("llm", m_now));
}

// An entry that neither fills nor helps to fill an engine has no use of each change of its load, once the places that its
// owner leaves are fewer than the entries that would share them.
TEST_F(ServerTableTest, AnEngineIsOfUseToThoseThatMaySendThere)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_entries(20);
    EXPECT_TRUE(m_table.is_of_use("1"));
    m_table.set_roles({});
    EXPECT_FALSE(m_table.is_of_use("1"));
    m_table.set_roles({ { "1", EngineRole::Owner } });
    EXPECT_TRUE(m_table.is_of_use("1"));
    EXPECT_FALSE(m_table.is_of_use("unknown"));
}

static Schema::BackendServer born(int64_t started_at_ms, Schema::BackendServer server)
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

TEST_F(ServerTableTest, AServerThatStartedAgainHasNoneOfItsPredecessorsFaults)
{
    m_table.set_server(born(1000, engine("1", "a")), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    m_table.on_sent("r2", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r1", ServerOutcome::Unreachable, m_now);
    EXPECT_FALSE(choose().has_value());
    m_table.set_server(born(2000, engine("1", "a")), m_now);
    EXPECT_TRUE(choose().has_value());
    // What was sent to the one before ends now: that says nothing of this one.
    m_table.on_ended("1", "r2", ServerOutcome::Unreachable, m_now);
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, TheSameIncarnationListedAgainKeepsItsFaults)
{
    m_table.set_server(born(1000, engine("1", "a")), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r1", ServerOutcome::Unreachable, m_now);
    m_table.set_server(born(1000, engine("1", "b")), m_now);
    EXPECT_FALSE(choose().has_value());
    // Nor does a record that tells no start make another of it.
    m_table.set_server(engine("1", "a"), m_now);
    EXPECT_FALSE(choose().has_value());
}

TEST_F(ServerTableTest, WhatWasSentToThePredecessorTakesNoPlace)
{
    m_table.set_server(born(1000, engine("1", "a")), m_now);
    for (int i = 0; i < 5; ++i)
        m_table.on_sent("r" + std::to_string(i), { .id = "1" }, 900, m_now);
    EXPECT_EQ(choose().error(), NoServer::AllFull);
    m_table.set_server(born(2000, engine("1", "a")), m_now);
    EXPECT_TRUE(choose().has_value());
}

TEST_F(ServerTableTest, AReportOfThePredecessorTellsNothingOfWhoIsListedNow)
{
    m_table.set_server(born(1000, engine("1", "a")), m_now);
    m_table.on_engine_state("10.0.0.1", state_of(1000, 3), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 3);
    m_table.set_server(born(2000, engine("1", "a", 0)), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 0);
    m_table.on_engine_state("10.0.0.1", state_of(2000, 2), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 2);
    // A late word of the one before is not heard.
    m_table.on_engine_state("10.0.0.1", state_of(1000, 3), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 2);
}

TEST_F(ServerTableTest, AReportOfASuccessorEndsWhatIsKnownAndListedOfThePredecessor)
{
    m_table.set_server(born(1000, engine("1", "a", 3)), m_now);
    m_table.on_sent("r1", { .id = "1" }, 900, m_now);
    m_table.on_ended("1", "r1", ServerOutcome::Unreachable, m_now);
    m_table.on_engine_state("10.0.0.1", state_of(2000, 3), m_now);
    EXPECT_TRUE(choose(3).has_value());
    // Once its agent is silent, the list speaks of the one before only.
    m_table.on_agent_gone("10.0.0.1");
    EXPECT_EQ(m_table.version_of("1", m_now), 0);
    EXPECT_FALSE(choose().has_value());
    // A heartbeat of the one before makes nobody younger.
    m_table.set_server(born(1000, engine("1", "b", 3)), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 0);
    m_table.set_server(born(2000, engine("1", "a", 2)), m_now);
    EXPECT_EQ(m_table.version_of("1", m_now), 2);
}

TEST_F(ServerTableTest, AnAgentThatGoesOnTellingOfAnEarlierStartIsBelievedInTheEnd)
{
    m_table.set_server(born(2000, engine("1", "a", 3)), m_now);
    m_table.on_engine_state("10.0.0.1", state_of(2000, 3), m_now);
    // Its clock was set back between.
    for (int i = 0; i < 10; ++i) {
        m_now += Core::Duration(1000);
        m_table.on_engine_state("10.0.0.1", state_of(1000, 2), m_now);
    }
    EXPECT_EQ(m_table.version_of("1", m_now), 2);
}

TEST_F(ServerTableTest, WhatTheListSaysOfALeavingPredecessorKeepsNobodyFromItsSuccessor)
{
    auto leaving = born(1000, engine("1", "a"));
    leaving.is_draining = true;
    m_table.set_server(leaving, m_now);
    m_table.on_engine_state("10.0.0.1", state_of(1000, 1), m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
    m_table.on_engine_state("10.0.0.1", state_of(2000, 1), m_now);
    EXPECT_TRUE(choose().has_value());
    // A list that is read by its newest records may never show the successor's first one.
    m_table.set_server(leaving, m_now);
    EXPECT_TRUE(choose().has_value());
    leaving.started_at_ms = 2000;
    m_table.set_server(leaving, m_now);
    EXPECT_EQ(choose().error(), NoServer::NoneUsable);
}

TEST_F(ServerTableTest, AServerThatIsClosedIsTakenForFullAndOneThatIsAvoidedGoesLast)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "b"), m_now);
    ServerNeeds needs { .service = "llm" };
    needs.prompt_tokens = 900;
    EXPECT_EQ(m_table.choose(needs, m_now)->id, "1");
    needs.avoided = { "1" };
    EXPECT_EQ(m_table.choose(needs, m_now)->id, "2");
    needs.avoided = { "1", "2" };
    EXPECT_EQ(m_table.choose(needs, m_now)->id, "1") << "one is better than none";
    needs.closed = { "1" };
    EXPECT_EQ(m_table.choose(needs, m_now)->id, "2");
    needs.closed = { "1", "2" };
    EXPECT_EQ(m_table.choose(needs, m_now).error(), NoServer::AllFull) << "they are open again soon";
}

TEST_F(ServerTableTest, WhatMayEndItsServerGoesWhereTheFewestRun)
{
    m_table.set_server(engine("1", "a"), m_now);
    m_table.set_server(engine("2", "b"), m_now);
    m_table.on_sent("r", { "1" }, 100, m_now);
    m_table.on_first_event("1", "r", m_now);
    ServerNeeds needs { .service = "llm" };
    needs.prompt_tokens = 900;
    EXPECT_EQ(m_table.choose(needs, m_now)->id, "1");
    needs.wants_idle = true;
    EXPECT_EQ(m_table.choose(needs, m_now)->id, "2");
}
