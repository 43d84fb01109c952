// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/UnreachedVersions.h>
#include <gtest/gtest.h>

using namespace Distribution;

TEST(UnreachedVersions, AVersionThatWasSkippedKeepsItsEarlierDeadline)
{
    UnreachedVersions goals;
    goals.on_named(2, Core::Time(1000));
    goals.on_named(3, Core::Time(5000));
    EXPECT_EQ(goals.oldest_named_at(), Core::Time(1000));
    goals.on_serving(3);
    EXPECT_FALSE(goals.oldest_named_at().has_value());
}

TEST(UnreachedVersions, AReachedVersionNoLongerSetsTheDeadline)
{
    UnreachedVersions goals;
    goals.on_named(2, Core::Time(1000));
    goals.on_named(3, Core::Time(5000));
    goals.on_serving(2);
    EXPECT_EQ(goals.oldest_named_at(), Core::Time(5000));
}

TEST(UnreachedVersions, ARestartedEngineHasNoEarlierDeadlineThanThatOfTheNewestVersion)
{
    UnreachedVersions goals;
    goals.on_named(2, Core::Time(1000));
    goals.on_serving(2);
    goals.on_serving(0);
    EXPECT_FALSE(goals.oldest_named_at().has_value());
    goals.on_named(3, Core::Time(5000));
    EXPECT_EQ(goals.oldest_named_at(), Core::Time(5000));
}
