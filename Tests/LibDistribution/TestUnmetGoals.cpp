// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/UnmetGoals.h>
#include <gtest/gtest.h>

using namespace Distribution;

TEST(UnmetGoals, AVersionThatWasSkippedKeepsItsEarlierBound)
{
    UnmetGoals goals;
    goals.on_named(2, Core::Time(1000));
    goals.on_named(3, Core::Time(5000));
    EXPECT_EQ(goals.oldest_named_at(), Core::Time(1000));
    goals.on_serving(3);
    EXPECT_FALSE(goals.oldest_named_at().has_value());
}

TEST(UnmetGoals, AVersionThatWasReachedMeanwhileRushesNobodyToTheNext)
{
    UnmetGoals goals;
    goals.on_named(2, Core::Time(1000));
    goals.on_named(3, Core::Time(5000));
    goals.on_serving(2);
    EXPECT_EQ(goals.oldest_named_at(), Core::Time(5000));
}

TEST(UnmetGoals, ARestartedEngineHasNoEarlierBoundThanThatOfTheNewestVersion)
{
    UnmetGoals goals;
    goals.on_named(2, Core::Time(1000));
    goals.on_serving(2);
    goals.on_serving(0);
    EXPECT_FALSE(goals.oldest_named_at().has_value());
    goals.on_named(3, Core::Time(5000));
    EXPECT_EQ(goals.oldest_named_at(), Core::Time(5000));
}
