// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/GoalOrder.h>
#include <gtest/gtest.h>

using namespace Distribution;

TEST(GoalOrder, ATransferUnderWayIsFinishedBeforeANewerOneBegins)
{
    TransferStand stand { .has_begun = true, .is_complete = false, .since_named = Core::Duration(2000), .bound = Core::Duration(8000) };
    EXPECT_TRUE(is_worth_finishing(stand));
    stand.is_complete = true;
    EXPECT_FALSE(is_worth_finishing(stand));
}

TEST(GoalOrder, WhatHasNotBegunOrIsLateHoldsNothingUp)
{
    TransferStand stand { .has_begun = false, .is_complete = false, .since_named = Core::Duration(100), .bound = Core::Duration(8000) };
    EXPECT_FALSE(is_worth_finishing(stand));
    stand.has_begun = true;
    stand.since_named = Core::Duration(4000);
    EXPECT_FALSE(is_worth_finishing(stand));
}

// Two versions are named two seconds apart, and the origin is away from before the first is whole until after it had to be served.
TEST(GoalOrder, AfterALongOutageOfTheOriginWhatIsNearlyWholeIsFinishedUntilTheNewerOneIsRequired)
{
    TransferStand stand { .has_begun = true, .is_complete = false, .chunks = 64, .held = 56, .is_newer_at_peers = false, .since_named = Core::Duration(8500), .since_newer_named = Core::Duration(6500), .bound = Core::Duration(10300) };
    EXPECT_TRUE(is_worth_finishing(stand)) << "an eighth of a copy is left, and it serves for a second and more";
    stand.since_newer_named = Core::Duration(7800);
    EXPECT_FALSE(is_worth_finishing(stand)) << "it would be outdated by the time that engines have it";
}

TEST(GoalOrder, AVersionThatIsNearlyWholeIsFinishedPastHalfOfItsBoundWhileTheNewerOneMayNotBeHad)
{
    TransferStand stand { .has_begun = true, .is_complete = false, .chunks = 8, .held = 7, .is_newer_at_peers = false, .since_named = Core::Duration(4000), .bound = Core::Duration(8000) };
    EXPECT_TRUE(is_worth_finishing(stand));
    stand.is_newer_at_peers = true;
    EXPECT_FALSE(is_worth_finishing(stand));
    stand.is_newer_at_peers = false;
    stand.held = 5;
    EXPECT_FALSE(is_worth_finishing(stand));
    stand.held = 7;
    stand.since_newer_named = Core::Duration(6000);
    EXPECT_FALSE(is_worth_finishing(stand)) << "the newer version has a bound as well";
}
