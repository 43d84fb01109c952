// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/StagedLoad.h>
#include <gtest/gtest.h>

using namespace Distribution;

static constexpr int64_t layers = 4;

static Platform::EngineReport report(int64_t version, int64_t sequence)
{
    Platform::EngineReport report;
    if (version > 0)
        report.held = { { .end_layer = layers, .first_layer = 0, .model = "m", .version = version } };
    report.order_sequence = sequence;
    return report;
}

/// An area, and loads that use it one after the other.
class StagingAreaTest : public testing::Test {
protected:
    StagingAreaTest() { settle(); }

    /// Passes the time after which no call of an earlier process counts any more.
    void settle()
    {
        m_area.on_report(report(0, m_sequence), m_now);
        m_now += StagingAreaSettings {}.settle_time;
        m_area.on_report(report(0, m_sequence), m_now);
        EXPECT_FALSE(m_area.can_change_unseen());
    }

    StagedLoad load_of(int64_t version)
    {
        StagedLoad load(version, 1, m_area, {});
        load.on_held(0);
        load.on_report(report(0, m_sequence), layers, m_now, m_now);
        return load;
    }

    void show(StagedLoad& load, int64_t version, int64_t sequence)
    {
        m_area.on_report(report(version, sequence), m_now);
        load.on_report(report(version, sequence), layers, m_now, m_now);
    }

    void show_part(StagedLoad& load, int64_t layer, int64_t sequence)
    {
        auto part = report(load.version(), sequence);
        part.held[0].first_layer = layer;
        part.held[0].end_layer = layer + 1;
        m_area.on_report(part, m_now);
        load.on_report(part, layers, m_now, m_now);
    }

    /// Returns the layer that the engine is ordered to hold alone.
    int64_t next_layer(StagedLoad& load)
    {
        auto const actions = load.step(m_now);
        auto const* order = actions.size() == 1 ? std::get_if<OrderHoldLayer>(&actions[0]) : nullptr;
        EXPECT_NE(order, nullptr);
        return order ? order->layer : -1;
    }

    template<typename Action>
    void expect_next(StagedLoad& load)
    {
        auto const actions = load.step(m_now);
        ASSERT_EQ(actions.size(), 1u);
        ASSERT_TRUE(std::holds_alternative<Action>(actions[0]));
    }

    void stage(StagedLoad& load)
    {
        expect_next<StageChunk>(load);
        m_area.on_write_sent(m_now);
        m_area.on_write_ended(true, m_now);
        load.on_staged(0, true, m_now);
    }

    void read_back(StagedLoad& load, ReadBack result)
    {
        expect_next<ReadBackChunk>(load);
        load.on_read_back(0, result, m_now);
    }

    StagingArea m_area;
    Core::Time m_now { 1 };
    int64_t m_sequence { 3 };
};

// Guards against a read-back that counts as new because its answer was handled late.
TEST_F(StagingAreaTest, AReadBackCountsFromWhenItWasSent)
{
    auto load = load_of(2);
    stage(load);
    expect_next<ReadBackChunk>(load);
    m_now += StagedLoadSettings {}.read_back_validity;
    load.on_read_back(0, ReadBack::Right, m_now);
    expect_next<ReadBackChunk>(load);
}

// Guards against two versions that are written to the staging area at the same time.
TEST_F(StagingAreaTest, ALoadBeginsOnceTheWritesOfTheOneBeforeHaveEnded)
{
    {
        auto dropped = load_of(2);
        expect_next<StageChunk>(dropped);
        m_area.on_write_sent(m_now);
    }
    auto load = load_of(3);
    EXPECT_TRUE(load.step(m_now).empty());
    m_area.on_write_ended(true, m_now);
    stage(load);
}

// Guards against a load that an unanswered order took while its chunks were replaced.
TEST_F(StagingAreaTest, ALoadThatAnUnansweredOrderTookBesideWritesIsInDoubt)
{
    auto load = load_of(2);
    stage(load);
    read_back(load, ReadBack::Right);
    expect_next<OrderLoad>(load);
    m_now += Core::Duration(1000);
    load.on_ordered(Platform::OrderOutcome::Unknown, m_now);
    m_now += StagedLoadSettings {}.order_result_timeout;
    show(load, 0, m_sequence);
    read_back(load, ReadBack::Wrong);
    stage(load);
    show(load, 2, m_sequence + 1);
    EXPECT_TRUE(load.is_in_doubt());
    EXPECT_FALSE(load.is_served_whole());
    expect_next<OrderHoldLayer>(load);
}

TEST_F(StagingAreaTest, ALoadThatAnUnansweredOrderTookWithoutWritesIsChecked)
{
    auto load = load_of(2);
    stage(load);
    read_back(load, ReadBack::Right);
    expect_next<OrderLoad>(load);
    m_now += Core::Duration(1000);
    load.on_ordered(Platform::OrderOutcome::Unknown, m_now);
    show(load, 2, m_sequence + 1);
    EXPECT_FALSE(load.is_served_whole());
    read_back(load, ReadBack::Right);
    EXPECT_TRUE(load.is_served_whole());
}

// Guards against a write without an answer that replaces a chunk between its read-back and the load.
TEST_F(StagingAreaTest, AWrongChunkBesideAnUnansweredWriteIsNotTakenForACorruptOne)
{
    {
        auto dropped = load_of(2);
        expect_next<StageChunk>(dropped);
        m_area.on_write_sent(m_now);
        m_area.on_write_ended(false, m_now);
    }
    auto load = load_of(3);
    stage(load);
    read_back(load, ReadBack::Right);
    expect_next<OrderLoad>(load);
    load.on_ordered(Platform::OrderOutcome::Accepted, m_now);
    // The write is settled before the check, but not before the order.
    settle();
    read_back(load, ReadBack::Wrong);
    show(load, 3, m_sequence + 1);
    EXPECT_TRUE(load.is_in_doubt());
}

// Guards against engines without sequence numbers whose every load stays in doubt after one order without an answer.
TEST_F(StagingAreaTest, AnUnansweredOrderIsOverAfterAWhileIfTheEngineNumbersNoOrders)
{
    Platform::EngineReport unnumbered;
    m_area.on_report(unnumbered, m_now);
    m_area.on_order_unanswered(m_now);
    m_now += Core::Duration(1);
    m_area.on_write_sent(m_now);
    m_area.on_write_ended(true, m_now);
    EXPECT_TRUE(m_area.has_written_beside_open_order());
    m_now += StagingAreaSettings {}.settle_time;
    m_area.on_report(unnumbered, m_now);
    EXPECT_FALSE(m_area.has_written_beside_open_order());
}

TEST_F(StagingAreaTest, AWriteWithoutAnAnswerIsSettledOnceTheEngineHasAnsweredForAWhile)
{
    m_area.on_write_sent(m_now);
    m_area.on_write_ended(false, m_now);
    EXPECT_TRUE(m_area.can_change_unseen());
    m_area.on_unreachable();
    m_now += StagingAreaSettings {}.settle_time;
    m_area.on_report(report(0, m_sequence), m_now);
    EXPECT_TRUE(m_area.can_change_unseen());
    m_now += StagingAreaSettings {}.settle_time;
    m_area.on_report(report(0, m_sequence), m_now);
    EXPECT_FALSE(m_area.can_change_unseen());
}

TEST_F(StagingAreaTest, ALoadInDoubtIsReplacedLayerByLayer)
{
    auto load = load_of(2);
    stage(load);
    read_back(load, ReadBack::Right);
    expect_next<OrderLoad>(load);
    load.on_ordered(Platform::OrderOutcome::Accepted, m_now);
    read_back(load, ReadBack::Absent);
    show(load, 2, m_sequence + 1);
    expect_next<OrderHoldLayer>(load);
    load.on_hold_layer_ordered(Platform::OrderOutcome::Refused, m_now);
    m_now += Core::Duration(100);
    show(load, 2, m_sequence + 1);
    EXPECT_TRUE(load.step(m_now).empty());
    m_now += StagedLoadSettings {}.order_result_timeout;
    show(load, 2, m_sequence + 1);
    expect_next<OrderHoldLayer>(load);
    load.on_hold_layer_ordered(Platform::OrderOutcome::Accepted, m_now);
    show_part(load, 0, m_sequence + 2);
    // The chunk is staged and read back again before the next order.
    stage(load);
    read_back(load, ReadBack::Right);
    EXPECT_EQ(next_layer(load), layers - 1);
    load.on_hold_layer_ordered(Platform::OrderOutcome::Accepted, m_now);
    show_part(load, layers - 1, m_sequence + 3);
    expect_next<OrderLoad>(load);
}

// Guards against a layer that a process before this one left at the engine, and that the engine keeps at the next load.
TEST_F(StagingAreaTest, APartThatAnEarlierProcessLeftIsReplaced)
{
    for (int64_t part : { int64_t { 0 }, layers - 1 }) {
        auto load = load_of(2);
        show_part(load, part, m_sequence);
        stage(load);
        read_back(load, ReadBack::Right);
        auto const replacement = next_layer(load);
        EXPECT_NE(replacement, part);
        load.on_hold_layer_ordered(Platform::OrderOutcome::Accepted, m_now);
        show_part(load, replacement, m_sequence + 1);
        expect_next<OrderLoad>(load);
    }
}

// A write after the replacement would leave a layer that was loaded from what stood there before.
TEST_F(StagingAreaTest, AWriteAfterAReplacementMakesAnotherOneDue)
{
    auto load = load_of(2);
    show_part(load, 0, m_sequence);
    stage(load);
    read_back(load, ReadBack::Right);
    EXPECT_EQ(next_layer(load), layers - 1);
    load.on_hold_layer_ordered(Platform::OrderOutcome::Accepted, m_now);
    m_now += StagedLoadSettings {}.read_back_validity;
    show_part(load, layers - 1, m_sequence + 1);
    read_back(load, ReadBack::Wrong);
    stage(load);
    read_back(load, ReadBack::Right);
    EXPECT_EQ(next_layer(load), 0);
}

// Guards against a bad load whose agent was killed before it checked it: the next agent must not repair the staged chunks before it reads them.
TEST(StagingArea, NothingIsWrittenBeforeALoadThatWasFoundAtTheEngineIsChecked)
{
    StagingArea area;
    StagedLoad load(2, 1, area, {});
    load.on_held(0);
    Core::Time now(1);
    auto show = [&] {
        area.on_report(report(2, 3), now);
        load.on_report(report(2, 3), layers, now, now);
    };
    show();
    EXPECT_TRUE(load.step(now).empty());
    now += StagingAreaSettings {}.settle_time;
    show();
    // An earlier process's write can no longer change what the reads find.
    show();
    auto const actions = load.step(now);
    ASSERT_EQ(actions.size(), 1u);
    ASSERT_TRUE(std::holds_alternative<ReadBackChunk>(actions[0]));
    load.on_read_back(0, ReadBack::Wrong, now);
    EXPECT_TRUE(load.is_in_doubt());
}
