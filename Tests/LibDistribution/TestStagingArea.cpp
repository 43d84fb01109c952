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
    expect_next<OrderUnload>(load);
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
    read_back(load, ReadBack::Wrong);
    show(load, 3, m_sequence + 1);
    EXPECT_TRUE(load.is_in_doubt());
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

TEST_F(StagingAreaTest, AnOrderToGiveTheVersionUpIsNotRepeatedAtOnce)
{
    auto load = load_of(2);
    stage(load);
    read_back(load, ReadBack::Right);
    expect_next<OrderLoad>(load);
    load.on_ordered(Platform::OrderOutcome::Accepted, m_now);
    read_back(load, ReadBack::Absent);
    show(load, 2, m_sequence + 1);
    expect_next<OrderUnload>(load);
    load.on_unload_ordered(Platform::OrderOutcome::Refused, m_now);
    m_now += Core::Duration(100);
    show(load, 2, m_sequence + 1);
    EXPECT_TRUE(load.step(m_now).empty());
    m_now += StagedLoadSettings {}.order_result_timeout;
    show(load, 2, m_sequence + 1);
    expect_next<OrderUnload>(load);
    load.on_unload_ordered(Platform::OrderOutcome::Accepted, m_now);
    show(load, 0, m_sequence + 2);
    // The chunk is staged and read back again before the next order.
    stage(load);
    read_back(load, ReadBack::Right);
    expect_next<OrderLoad>(load);
}
