// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/StagedLoad.h>
#include <LibDistribution/Transfer.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Distribution;

static constexpr int64_t layers = 4;

static Platform::EngineReport report(int64_t version, bool is_busy, int64_t sequence)
{
    Platform::EngineReport report;
    if (version > 0)
        report.held = { { .end_layer = layers, .first_layer = 0, .model = "m", .version = version } };
    report.is_busy = is_busy;
    report.order_sequence = sequence;
    return report;
}

/// A load whose engine answers each call at the moment at which it is sent.
class ImmediateLoad {
public:
    ImmediateLoad(int64_t version, size_t chunks, StagedLoadSettings settings)
        : m_load(version, chunks, m_area, settings)
    {
    }

    void on_held(size_t chunk) { m_load.on_held(chunk); }
    void on_unreachable()
    {
        m_area.on_unreachable();
        m_load.on_unreachable();
    }
    void on_report(Platform::EngineReport const& report, int64_t layers, Core::Time now)
    {
        m_area.on_report(report, now);
        m_load.on_report(report, layers, now, now);
    }
    std::vector<LoadAction> step(Core::Time now, SwitchPermissions permissions = {})
    {
        m_now = now;
        auto actions = m_load.step(now, permissions);
        for (auto const& action : actions) {
            if (std::holds_alternative<StageChunk>(action))
                m_area.on_write_sent(now);
        }
        return actions;
    }
    void on_staged(size_t chunk, bool has_succeeded)
    {
        m_area.on_write_ended(has_succeeded, m_now);
        m_load.on_staged(chunk, has_succeeded, m_now);
    }
    void on_read_back(size_t chunk, bool is_correct, Core::Time now) { m_load.on_read_back(chunk, is_correct ? ReadBack::Right : ReadBack::Wrong, now); }
    void on_ordered(Platform::OrderOutcome outcome, Core::Time now) { m_load.on_ordered(outcome, now); }
    bool is_served_whole() const { return m_load.is_served_whole(); }
    bool is_in_doubt() const { return m_load.is_in_doubt(); }
    bool is_switching() const { return m_load.is_switching(); }

private:
    StagingArea m_area;
    StagedLoad m_load;
    Core::Time m_now { 0 };
};

/// An engine that restarts, loses its answers to orders, and whose staged chunks become corrupt (state 2; 1 is correct, 0 is not staged).
struct FakeEngine {
    std::vector<int> staged;
    int64_t version { 0 };
    int64_t sequence { 0 };
    int64_t wrong_loads { 0 };

    bool take(int64_t wanted, int64_t expected_sequence)
    {
        if (expected_sequence != sequence)
            return false;
        sequence += 1;
        version = wanted;
        bool const is_right = std::all_of(staged.begin(), staged.end(), [](int state) { return state == 1; });
        if (!is_right)
            wrong_loads += 1;
        return true;
    }
};

RC_GTEST_PROP(StagedLoad, AnOrderGoesOutOnlyForChunksReadBackRightJustBefore, ())
{
    static constexpr size_t chunks = 4;
    StagedLoadSettings const settings;
    ImmediateLoad load(2, chunks, settings);
    FakeEngine engine { std::vector<int>(chunks, 0), 1, 0, 0 };
    // When each chunk was last read back right.
    std::vector<std::optional<Core::Time>> right(chunks);
    Core::Time now(0);
    for (size_t i = 0; i < chunks; ++i)
        load.on_held(i);
    for (int step = 0; step < 200; ++step) {
        now += Core::Duration(*rc::gen::inRange(1, 60));
        if (*rc::gen::inRange(0, 25) == 0) {
            auto const bad = *rc::gen::inRange<size_t>(0, chunks);
            engine.staged[bad] = 2;
        }
        if (*rc::gen::inRange(0, 40) == 0) {
            engine.version = 0;
            engine.sequence = 0;
        }
        if (*rc::gen::inRange(0, 10) == 0)
            load.on_unreachable();
        else
            load.on_report(report(engine.version, false, engine.sequence), layers, now);
        for (auto const& action : load.step(now)) {
            if (auto const* stage = std::get_if<StageChunk>(&action)) {
                bool const is_done = *rc::gen::inRange(0, 8) != 0;
                if (is_done)
                    engine.staged[stage->chunk] = 1;
                load.on_staged(stage->chunk, is_done);
            } else if (auto const* back = std::get_if<ReadBackChunk>(&action)) {
                bool const is_right = engine.staged[back->chunk] == 1;
                if (is_right)
                    right[back->chunk] = now;
                load.on_read_back(back->chunk, is_right, now);
            } else if (auto const* order = std::get_if<OrderLoad>(&action)) {
                for (auto const& at : right)
                    RC_ASSERT(at && now - *at <= settings.read_back_validity);
                bool const is_taken = engine.take(2, order->expected_sequence.value());
                bool const is_answered = *rc::gen::inRange(0, 4) != 0;
                load.on_ordered(!is_answered ? Platform::OrderOutcome::Unknown : is_taken ? Platform::OrderOutcome::Accepted
                                                                                          : Platform::OrderOutcome::Refused,
                    now);
            }
        }
    }
}

static void finish_calls(ImmediateLoad& load, Core::Time now, std::optional<OrderLoad>& order)
{
    for (int round = 0; round < 20; ++round) {
        for (auto const& action : load.step(now)) {
            if (auto const* stage = std::get_if<StageChunk>(&action))
                load.on_staged(stage->chunk, true);
            else if (auto const* back = std::get_if<ReadBackChunk>(&action))
                load.on_read_back(back->chunk, true, now);
            else if (auto const* due_order = std::get_if<OrderLoad>(&action))
                order = *due_order;
        }
    }
}

TEST(StagedLoad, NothingIsOrderedWhileChunksAreMissing)
{
    ImmediateLoad load(2, 3, {});
    // The engine is empty; an engine that serves a version would be drained first.
    load.on_report(report(0, false, 0), layers, Core::Time(0));
    load.on_held(0);
    load.on_held(2);
    std::optional<OrderLoad> order;
    finish_calls(load, Core::Time(1), order);
    EXPECT_FALSE(order.has_value());
    load.on_held(1);
    finish_calls(load, Core::Time(2), order);
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->expected_sequence, 0);
}

TEST(StagedLoad, ARestartedEngineIsOrderedAgain)
{
    ImmediateLoad load(2, 1, {});
    load.on_held(0);
    std::optional<OrderLoad> order;
    // The load is found whole once no write of an earlier process can reach the staging area any more.
    for (int64_t now = 0; now <= 2500; now += 100) {
        load.on_report(report(2, false, 3), layers, Core::Time(now));
        finish_calls(load, Core::Time(now), order);
    }
    EXPECT_FALSE(order.has_value());
    EXPECT_TRUE(load.is_served_whole());
    load.on_report(report(0, false, 0), layers, Core::Time(5000));
    finish_calls(load, Core::Time(5001), order);
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->expected_sequence, 0);
}

TEST(StagedLoad, AnOrderWithoutAnAnswerIsNotRepeatedBeforeItsResultTimeout)
{
    StagedLoadSettings const settings;
    ImmediateLoad load(2, 1, settings);
    load.on_held(0);
    load.on_report(report(0, false, 0), layers, Core::Time(0));
    std::optional<OrderLoad> order;
    finish_calls(load, Core::Time(1), order);
    ASSERT_TRUE(order.has_value());
    load.on_ordered(Platform::OrderOutcome::Unknown, Core::Time(2));
    order.reset();
    load.on_report(report(0, false, 0), layers, Core::Time(100));
    finish_calls(load, Core::Time(101), order);
    EXPECT_FALSE(order.has_value());
    load.on_report(report(0, false, 0), layers, Core::Time(2) + settings.order_result_timeout);
    finish_calls(load, Core::Time(3) + settings.order_result_timeout, order);
    EXPECT_TRUE(order.has_value());
}

TEST(StagedLoad, TheWaitForALostAnswerCountsTowardsTheOrdersResultTimeout)
{
    StagedLoadSettings const settings;
    ImmediateLoad load(2, 1, settings);
    load.on_held(0);
    load.on_report(report(0, false, 0), layers, Core::Time(0));
    std::optional<OrderLoad> order;
    finish_calls(load, Core::Time(1), order);
    ASSERT_TRUE(order.has_value());
    // Nothing was received on the order's connection, and the call timed out.
    load.on_ordered(Platform::OrderOutcome::Unknown, Core::Time(1001));
    order.reset();
    load.on_report(report(0, false, 0), layers, Core::Time(1) + settings.order_result_timeout);
    finish_calls(load, Core::Time(2) + settings.order_result_timeout, order);
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->expected_sequence, 0);
}

static Schema::VersionSpec spec_of(size_t chunks)
{
    Schema::VersionSpec version;
    for (size_t i = 0; i < chunks; ++i)
        version.chunks.push_back({ .bytes = 1, .digest = "digest-" + std::to_string(i) });
    return version;
}

TEST(TransferDistance, ChunksHeldInTheRegionAreNeverReadFromAnotherRegion)
{
    TransferSettings settings;
    settings.origin_wait = Core::Duration(1000000);
    settings.seeders = 1;
    Transfer transfer(spec_of(8), "self", { "near", "far", "self" }, {}, settings, 1, Core::Time(0));
    transfer.set_region_instances({ "self", "near" });
    transfer.on_peer_chunks("far", { 0, 1, 2, 3, 4, 5, 6, 7 });
    transfer.on_peer_chunks("near", { 0, 1, 2, 3 });
    for (int64_t now = 0; now < 200; ++now) {
        for (auto const& action : transfer.step(Core::Time(now))) {
            auto const& fetch = std::get<Fetch>(action);
            if (fetch.chunk < 4) {
                EXPECT_NE(fetch.source.peer, "far");
            }
            transfer.on_fetched(fetch.id, Core::Time(now));
        }
    }
}

TEST(TransferDistance, AChunkHeldOnlyInAnotherRegionIsReadFromThereEventually)
{
    TransferSettings settings;
    settings.origin_wait = Core::Duration(1000000);
    settings.seeders = 1;
    std::vector<std::string> const near { "self", "n1", "n2", "n3" };
    Transfer transfer(spec_of(4), "self", { "far", "self", "n1", "n2", "n3" }, {}, settings, 1, Core::Time(0));
    transfer.set_region_instances(near);
    transfer.on_peer_chunks("far", { 0, 1, 2, 3 });
    for (int64_t now = 0; now < 10000 && !transfer.is_complete(); now += 10) {
        for (auto const& action : transfer.step(Core::Time(now)))
            if (auto const* fetch = std::get_if<Fetch>(&action))
                transfer.on_fetched(fetch->id, Core::Time(now));
    }
    EXPECT_TRUE(transfer.is_complete());
}

TEST(TransferDistance, ASeederLimitsItsReadsFromPeers)
{
    TransferSettings settings;
    settings.fetches_in_flight = 6;
    settings.origin_fetches_in_flight = 1;
    settings.peer_fetches_while_seeding = 2;
    Transfer transfer(spec_of(16), "self", { "self" }, {}, settings, 1, Core::Time(0));
    transfer.on_peer_chunks("peer", { 0, 1, 2, 3, 4, 5, 6, 7 });
    size_t from_origin = 0;
    size_t from_peers = 0;
    for (auto const& action : transfer.step(Core::Time(0)))
        (std::get<Fetch>(action).source.is_origin() ? from_origin : from_peers) += 1;
    EXPECT_EQ(from_origin, 1u);
    EXPECT_EQ(from_peers, 2u);
}

// Versions have a deadline of seconds, which does not stop while the origin is unreachable. A long backoff after the origin is
// reachable again could miss it.
TEST(TransferDistance, AReaderOfTheOriginAsksItWithinAQuarterOfASecondOfItsReturn)
{
    Transfer transfer(spec_of(1), "self", { "self" }, {}, {}, 1, Core::Time(0));
    Core::Time last_attempt { 0 };
    for (Core::Time now { 0 }; now < Core::Time(6000); now += Core::Duration(10)) {
        for (auto const& action : transfer.step(now)) {
            last_attempt = now;
            transfer.on_failed(std::get<Fetch>(action).id, FetchFailure::Unreachable, now);
        }
        ASSERT_LE(now - last_attempt, Core::Duration(250));
    }
}

TEST(TransferDistance, AnOriginThatWasDownIsAskedAgainWithinTheLongestWait)
{
    // Seen in scenario scale-1 of both sites: the origin was reachable again for ten seconds before any instance read from it.
    TransferSettings settings;
    settings.max_peer_backoff = Core::Duration(1000);
    Transfer transfer(spec_of(1), "self", { "self" }, {}, settings, 1, Core::Time(0));
    int64_t last_attempt = 0;
    int64_t longest_gap = 0;
    for (int64_t now = 0; now < 20000; now += 10) {
        for (auto const& action : transfer.step(Core::Time(now))) {
            longest_gap = std::max(longest_gap, now - last_attempt);
            last_attempt = now;
            transfer.on_failed(std::get<Fetch>(action).id, FetchFailure::Unreachable, Core::Time(now));
        }
    }
    EXPECT_LE(longest_gap, 1010);
}

TEST(StagedLoad, AnEngineThatServesIsTakenOutOnlyWhenItMayAndIsDrainedFirst)
{
    StagedLoadSettings const settings;
    ImmediateLoad load(2, 1, settings);
    load.on_held(0);
    auto busy_engine = report(1, false, 0);
    busy_engine.running = 9;
    load.on_report(busy_engine, layers, Core::Time(0));
    std::optional<OrderLoad> order;
    auto run = [&](int64_t now, SwitchPermissions permissions) {
        for (int round = 0; round < 10; ++round) {
            for (auto const& action : load.step(Core::Time(now), permissions)) {
                if (auto const* stage = std::get_if<StageChunk>(&action))
                    load.on_staged(stage->chunk, true);
                else if (auto const* back = std::get_if<ReadBackChunk>(&action))
                    load.on_read_back(back->chunk, true, Core::Time(now));
                else if (auto const* due_order = std::get_if<OrderLoad>(&action))
                    order = *due_order;
            }
        }
    };
    run(10, { .may_switch = false, .may_evict = true });
    EXPECT_FALSE(load.is_switching());
    run(20, { .may_switch = true, .may_evict = true });
    EXPECT_TRUE(load.is_switching());
    EXPECT_FALSE(order.has_value());
    run(20 + settings.drain_timeout.count() - 1, { .may_switch = true, .may_evict = true });
    EXPECT_FALSE(order.has_value());
    run(20 + settings.drain_timeout.count(), { .may_switch = true, .may_evict = true });
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->mode, Platform::LoadMode::EvictRunning);
}

TEST(StagedLoad, RequestsAreNotEvictedUnlessAllowed)
{
    ImmediateLoad load(2, 1, {});
    load.on_held(0);
    auto busy_engine = report(1, false, 0);
    busy_engine.running = 9;
    load.on_report(busy_engine, layers, Core::Time(0));
    std::optional<OrderLoad> order;
    for (int64_t now = 0; now < 5000; now += 50) {
        for (auto const& action : load.step(Core::Time(now), { .may_switch = true, .may_evict = false })) {
            if (auto const* stage = std::get_if<StageChunk>(&action))
                load.on_staged(stage->chunk, true);
            else if (auto const* back = std::get_if<ReadBackChunk>(&action))
                load.on_read_back(back->chunk, true, Core::Time(now));
            else if (auto const* due_order = std::get_if<OrderLoad>(&action))
                order = *due_order;
        }
    }
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->mode, Platform::LoadMode::WaitForRunning);
}

TEST(StagedLoad, AnEngineThatServesANewerVersionIsNotOrderedBack)
{
    static constexpr size_t chunks = 2;
    ImmediateLoad load(2, chunks, {});
    for (size_t i = 0; i < chunks; ++i)
        load.on_held(i);
    for (int step = 1; step < 400; ++step) {
        Core::Time const now(step * 50);
        load.on_report(report(3, false, 7), layers, now);
        for (auto const& action : load.step(now)) {
            if (auto const* stage = std::get_if<StageChunk>(&action))
                load.on_staged(stage->chunk, true);
            else if (auto const* read = std::get_if<ReadBackChunk>(&action))
                load.on_read_back(read->chunk, true, now);
            else
                FAIL() << "a load of an older version was ordered at step " << step;
        }
    }
}

static Platform::EngineReport started_at(int64_t started_at_ms, Platform::EngineReport report)
{
    report.started_at_ms = started_at_ms;
    return report;
}

TEST(StagedLoad, ARestartIsDetectedByTheStartTimeIfTheSequenceIsNotLower)
{
    ImmediateLoad load(2, 1, {});
    load.on_held(0);
    load.on_report(started_at(1000, report(0, false, 0)), layers, Core::Time(0));
    std::optional<OrderLoad> order;
    finish_calls(load, Core::Time(1), order);
    ASSERT_TRUE(order.has_value());
    load.on_ordered(Platform::OrderOutcome::Unknown, Core::Time(2));
    load.on_report(started_at(2000, report(0, false, 0)), layers, Core::Time(100));
    EXPECT_FALSE(load.is_switching());
    order.reset();
    finish_calls(load, Core::Time(101), order);
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->expected_sequence, 0);
}

TEST(StagedLoad, ARestartIsDetectedAfterAFailedReport)
{
    ImmediateLoad load(2, 1, {});
    load.on_held(0);
    load.on_report(started_at(1000, report(0, false, 0)), layers, Core::Time(0));
    std::optional<OrderLoad> order;
    finish_calls(load, Core::Time(1), order);
    load.on_ordered(Platform::OrderOutcome::Accepted, Core::Time(2));
    load.on_unreachable();
    load.on_report(started_at(2000, report(0, false, 0)), layers, Core::Time(100));
    EXPECT_FALSE(load.is_switching());
}

TEST(StagedLoad, ARestartedEngineGetsNoOrderForWhatWasReadBackBefore)
{
    ImmediateLoad load(2, 1, {});
    load.on_held(0);
    auto serving = started_at(1000, report(1, false, 0));
    load.on_report(serving, layers, Core::Time(0));
    std::optional<OrderLoad> order;
    finish_calls(load, Core::Time(10), order);
    ASSERT_FALSE(order.has_value());
    EXPECT_TRUE(load.is_switching());
    // The staged chunks may have been lost in a power failure.
    load.on_report(started_at(2000, report(0, false, 0)), layers, Core::Time(100));
    EXPECT_FALSE(load.is_switching());
    auto const actions = load.step(Core::Time(101));
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<ReadBackChunk>(actions[0]));
}

TEST(StagedLoad, AChunkReadBackFromAnEarlierIncarnationIsReadBackAgain)
{
    ImmediateLoad load(2, 1, {});
    load.on_held(0);
    load.on_report(started_at(1000, report(0, false, 0)), layers, Core::Time(0));
    ASSERT_TRUE(std::holds_alternative<StageChunk>(load.step(Core::Time(1)).at(0)));
    load.on_staged(0, true);
    ASSERT_TRUE(std::holds_alternative<ReadBackChunk>(load.step(Core::Time(2)).at(0)));
    load.on_report(started_at(2000, report(0, false, 0)), layers, Core::Time(3));
    load.on_read_back(0, true, Core::Time(4));
    auto const actions = load.step(Core::Time(5));
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<ReadBackChunk>(actions[0]));
}

TEST(StagedLoad, AnEarlierIncarnationsAnswerToAnOrderDelaysNothing)
{
    ImmediateLoad load(2, 1, {});
    load.on_held(0);
    load.on_report(started_at(1000, report(0, false, 0)), layers, Core::Time(0));
    std::optional<OrderLoad> order;
    finish_calls(load, Core::Time(1), order);
    ASSERT_TRUE(order.has_value());
    load.on_report(started_at(2000, report(0, false, 0)), layers, Core::Time(100));
    load.on_ordered(Platform::OrderOutcome::Unknown, Core::Time(1000));
    EXPECT_FALSE(load.is_switching());
    order.reset();
    finish_calls(load, Core::Time(1001), order);
    EXPECT_TRUE(order.has_value());
}

TEST(StagedLoad, ALateReportOfAnEarlierIncarnationIsNotAccepted)
{
    ImmediateLoad load(2, 1, {});
    load.on_held(0);
    load.on_report(started_at(2000, report(0, false, 0)), layers, Core::Time(0));
    load.on_report(started_at(1000, report(2, false, 7)), layers, Core::Time(1));
    EXPECT_FALSE(load.is_served_whole());
    std::optional<OrderLoad> order;
    finish_calls(load, Core::Time(2), order);
    EXPECT_FALSE(order.has_value());
    // An engine that keeps reporting an earlier start is running: its clock was set back.
    load.on_report(started_at(1000, report(2, false, 7)), layers, Core::Time(100));
    // What it loaded while the chunk was staged is unknown.
    EXPECT_TRUE(load.is_in_doubt());
}
