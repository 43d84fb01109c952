// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/StopSchedule.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Routing;

TEST(StopSchedule, EverythingIsSentBeforeTheSignal)
{
    StopSchedule const schedule;
    EXPECT_TRUE(schedule.may_send(Core::Time(1000000), Core::Time(0)));
    EXPECT_FALSE(schedule.is_notice_over(Core::Time(1000000)));
    EXPECT_FALSE(schedule.is_out_of_time(Core::Time(1000000)));
    EXPECT_FALSE(schedule.must_exit(Core::Time(1000000)));
}

TEST(StopSchedule, AfterTheNoticeOnlyWhatIsOverBeforeTheEndIsSent)
{
    StopSchedule schedule;
    schedule.begin({ Core::Duration(2500), Core::Duration(7500), Core::Duration(7800) }, Core::Time(1000));
    EXPECT_TRUE(schedule.may_send(Core::Time(20000), Core::Time(3499)));
    EXPECT_FALSE(schedule.may_send(Core::Time(8501), Core::Time(3500)));
    EXPECT_TRUE(schedule.may_send(Core::Time(8500), Core::Time(3500)));
    EXPECT_FALSE(schedule.may_send(Core::Time(8500), Core::Time(8500)));
}

TEST(StopSchedule, AShortTimeLeavesHalfOfItForWhatWasTakenDuringTheNotice)
{
    StopSchedule schedule;
    schedule.begin({ Core::Duration(2500), Core::Duration(1000), Core::Duration(1300) }, Core::Time(0));
    EXPECT_FALSE(schedule.is_notice_over(Core::Time(499)));
    EXPECT_TRUE(schedule.is_notice_over(Core::Time(500)));
}

TEST(StopSchedule, ASecondSignalProlongsNothing)
{
    StopSchedule schedule;
    schedule.begin({ Core::Duration(2500), Core::Duration(7500), Core::Duration(7800) }, Core::Time(0));
    schedule.begin({ Core::Duration(2500), Core::Duration(7500), Core::Duration(7800) }, Core::Time(7000));
    EXPECT_TRUE(schedule.is_out_of_time(Core::Time(7500)));
}

TEST(StopSchedule, TheExitNeverComesBeforeTheAnswers)
{
    StopSchedule schedule;
    schedule.begin({ Core::Duration(0), Core::Duration(1000), Core::Duration(300) }, Core::Time(0));
    EXPECT_FALSE(schedule.must_exit(Core::Time(999)));
    EXPECT_TRUE(schedule.is_out_of_time(Core::Time(1000)));
    EXPECT_TRUE(schedule.must_exit(Core::Time(1000)));
    StopSchedule none;
    none.begin({ Core::Duration(2500), Core::Duration(-500), Core::Duration(-200) }, Core::Time(0));
    EXPECT_FALSE(none.may_send(Core::Time(0), Core::Time(0)));
    EXPECT_TRUE(none.must_exit(Core::Time(0)));
}

// Guards against requests that are sent although the process ends before their caller stops waiting.
RC_GTEST_PROP(StopSchedule, WhateverIsSentAfterTheNoticeIsOverBeforeTheEnd, (uint16_t notice, uint16_t available, uint16_t after, uint16_t allowed))
{
    StopSchedule schedule;
    Core::Time const began { 100000 };
    schedule.begin({ Core::Duration(notice), Core::Duration(available), Core::Duration(available) }, began);
    auto const now = began + Core::Duration(after);
    auto const deadline = now + Core::Duration(allowed);
    if (schedule.is_notice_over(now) && schedule.may_send(deadline, now))
        RC_ASSERT(deadline <= began + Core::Duration(available));
    if (schedule.is_out_of_time(now))
        RC_ASSERT(!schedule.may_send(deadline, now));
    // What would be over in time is never refused.
    if (deadline <= began + Core::Duration(available) && !schedule.is_out_of_time(now))
        RC_ASSERT(schedule.may_send(deadline, now));
}
