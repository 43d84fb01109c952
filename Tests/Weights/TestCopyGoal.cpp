// SPDX-License-Identifier: BSD-2-Clause
#include "../../Services/Weights/CopyGoal.h"
#include "HeldBackOrigin.h"
#include <gtest/gtest.h>

using namespace Weights;

namespace {

class CopyGoalTest : public testing::Test {
protected:
    CopyGoalTest()
        : m_fetcher(m_loop, settings(), m_metrics, m_origin, fetcher_callbacks())
        , m_goal(m_fetcher, { .is_seeking = [this](int64_t) { return m_is_seeking; }, .before_switch = [this](Schema::WeightsGoal const& next, Core::Time) { m_turned_to.push_back(next.version); } })
    {
    }

    static CopyFetcherSettings settings()
    {
        CopyFetcherSettings result;
        result.identity = "a";
        return result;
    }

    CopyFetcher::Callbacks fetcher_callbacks()
    {
        return {
            .announce = [](Schema::PieceMap const&) {},
            .manifest_accepted = [this] { m_fetcher.begin(); },
            .chunk_held = [](size_t) {},
            .is_seeking = [](int64_t) { return true; },
            .is_lacked = [](int64_t) { return false; },
            .also_used = [] { return nullptr; },
            .sources = [] { return CopySources { .targets = { "a" }, .same_region = {}, .caches = {} }; },
        };
    }

    bool on_version_named(int64_t version)
    {
        Schema::WeightsGoal goal {};
        goal.model = "m";
        goal.version = version;
        goal.origin_address = "origin";
        goal.chunks = HeldBackOrigin::chunk_count;
        // An hour, so that the deadline does not matter on a slow machine.
        goal.bound_ms = 3600000;
        return m_goal.on_version_named(goal, Core::monotonic_now());
    }

    void begin()
    {
        m_fetcher.advance(Core::monotonic_now());
        m_origin.deliver_one();
        ASSERT_TRUE(m_fetcher.has_manifest());
    }

    Core::EventLoop m_loop;
    Core::Metrics m_metrics;
    HeldBackOrigin m_origin;
    bool m_is_seeking { true };
    std::vector<int64_t> m_turned_to;
    CopyFetcher m_fetcher;
    CopyGoal m_goal;
};

}

TEST_F(CopyGoalTest, ANewerVersionWaitsUntilTheOneUnderWayIsComplete)
{
    EXPECT_TRUE(on_version_named(1));
    begin();
    EXPECT_FALSE(on_version_named(2));
    m_goal.switch_if_due();
    EXPECT_EQ(m_goal.current()->version, 1);
    m_origin.deliver_all();
    ASSERT_TRUE(m_fetcher.is_complete());
    m_goal.switch_if_due();
    EXPECT_EQ(m_turned_to, (std::vector<int64_t> { 1, 2 }));
}

TEST_F(CopyGoalTest, AVersionThatHasNotBegunOrIsNotNeededDelaysNoNewerOne)
{
    EXPECT_TRUE(on_version_named(1));
    EXPECT_TRUE(on_version_named(2));
    begin();
    m_is_seeking = false;
    EXPECT_TRUE(on_version_named(3));
}

TEST_F(CopyGoalTest, AWaitingVersionIsDroppedForANewerOne)
{
    EXPECT_TRUE(on_version_named(1));
    begin();
    EXPECT_FALSE(on_version_named(2));
    m_is_seeking = false;
    EXPECT_TRUE(on_version_named(3));
    m_goal.switch_if_due();
    EXPECT_EQ(m_goal.current()->version, 3);
    EXPECT_FALSE(on_version_named(2)) << "version 2 is older than the current version 3";
    EXPECT_EQ(m_turned_to, (std::vector<int64_t> { 1, 3 }));
}

TEST_F(CopyGoalTest, AnEarlierTimeOfTheCurrentVersionIsKept)
{
    Schema::WeightsGoal goal {};
    goal.model = "m";
    goal.version = 3;
    goal.origin_address = "origin";
    goal.chunks = HeldBackOrigin::chunk_count;
    goal.bound_ms = 8000;
    auto const now = Core::monotonic_now();
    // The first sender has just started and does not know when the version was named. The second has followed the log records.
    EXPECT_TRUE(m_goal.on_version_named(goal, now));
    m_goal.on_version_named(goal, now - Core::Duration(5000));
    EXPECT_EQ(m_goal.named_at(), now - Core::Duration(5000));
}
