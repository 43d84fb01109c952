// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/TransferProgress.h>
#include <gtest/gtest.h>

using namespace Distribution;

TEST(TransferProgress, ATransferUnderWayIsFinishedBeforeANewerOneBegins)
{
    TransferProgress progress { .has_begun = true, .is_complete = false, .time_since_named = Core::Duration(2000), .version_time_limit = Core::Duration(8000) };
    EXPECT_TRUE(should_finish_first(progress));
    progress.is_complete = true;
    EXPECT_FALSE(should_finish_first(progress));
}

TEST(TransferProgress, ATransferThatHasNotBegunOrIsLateIsNotFinishedFirst)
{
    TransferProgress progress { .has_begun = false, .is_complete = false, .time_since_named = Core::Duration(100), .version_time_limit = Core::Duration(8000) };
    EXPECT_FALSE(should_finish_first(progress));
    progress.has_begun = true;
    progress.time_since_named = Core::Duration(4000);
    EXPECT_FALSE(should_finish_first(progress));
}

TEST(TransferProgress, ANearlyCompleteVersionIsFinishedPastHalfOfItsDeadlineIfTheNewerOneMayBeUnavailable)
{
    TransferProgress progress { .has_begun = true, .is_complete = false, .chunk_count = 8, .held_count = 7, .is_newer_held_by_peers = false, .time_since_named = Core::Duration(4000), .version_time_limit = Core::Duration(8000) };
    EXPECT_TRUE(should_finish_first(progress));
    progress.is_newer_held_by_peers = true;
    EXPECT_FALSE(should_finish_first(progress));
    progress.is_newer_held_by_peers = false;
    progress.held_count = 5;
    EXPECT_FALSE(should_finish_first(progress));
    progress.held_count = 7;
    progress.time_since_named = Core::Duration(6000);
    EXPECT_FALSE(should_finish_first(progress)) << "the newer version has a deadline as well";
}
