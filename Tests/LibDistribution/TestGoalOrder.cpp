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
    stand.since_named = Core::Duration(6000);
    EXPECT_FALSE(is_worth_finishing(stand)) << "the newer version has a deadline as well";
}
