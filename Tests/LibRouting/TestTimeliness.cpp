// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AnswerTerms.h>
#include <LibRouting/CallerDeadlines.h>
#include <LibRouting/LeftoverPace.h>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using Core::Duration;
using Core::Time;
using Routing::AnswerTerms;
using Routing::CallerDeadlines;
using Routing::LeftoverPace;
using Routing::Timeliness;

TEST(AnswerTerms, AnAnswerIsWorthLessTheLaterItBegins)
{
    AnswerTerms const terms { .in_time_until = Time(400), .deadline = Time(6000) };
    EXPECT_EQ(terms.of(Time(400), Time(2000)), Timeliness::InTime);
    EXPECT_EQ(terms.of(Time(401), Time(2000)), Timeliness::Late);
    EXPECT_EQ(terms.of(Time(401), Time(6001)), Timeliness::TooLate);
}

TEST(CallerDeadlines, ACallerThatNamesLessThanIsUsualHasAskedBefore)
{
    CallerDeadlines deadlines;
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(deadlines.on_request("r", Duration(6000 - i % 2 * 8)), Duration(0));
    EXPECT_EQ(deadlines.on_request("r", Duration(4300)), Duration(1700));
    EXPECT_EQ(deadlines.on_request("other", Duration(4300)), Duration(0));
}

TEST(CallerDeadlines, NothingIsConcludedFromTheFirstOnes)
{
    CallerDeadlines deadlines;
    EXPECT_EQ(deadlines.on_request("r", Duration(6000)), Duration(0));
    EXPECT_EQ(deadlines.on_request("r", Duration(4300)), Duration(0));
    EXPECT_EQ(deadlines.on_request("r", Duration(4000)), Duration(0));
}

TEST(CallerDeadlines, AFewPatientCallersDoNotMakeTheOthersLate)
{
    CallerDeadlines deadlines;
    for (int i = 0; i < 200; ++i)
        EXPECT_EQ(deadlines.on_request("r", Duration(i % 25 == 0 ? 9000 : 6000)), Duration(0));
}

// Timeouts vary by 15 % from caller to caller, and none has sent an earlier request.
TEST(CallerDeadlines, CallersOfVariedPatienceAreNotTakenToHaveAskedBefore)
{
    for (auto const usual : { 1200, 6000 }) {
        CallerDeadlines deadlines;
        std::mt19937 random(1);
        std::uniform_int_distribution<int> spread(usual * 85 / 100, usual * 115 / 100);
        int dated = 0;
        for (int i = 0; i < 2000; ++i)
            dated += deadlines.on_request("r", Duration(spread(random))) > Duration(0) ? 1 : 0;
        EXPECT_LE(dated, 20) << usual;
    }
}

TEST(CallerDeadlines, DuringAnOutageTheFewFirstTriesStillTellTheUsualDeadline)
{
    CallerDeadlines deadlines;
    Duration last { 0 };
    // Four in five requests are retries, each with the rest of its caller's timeout.
    for (int i = 0; i < 300; ++i)
        last = deadlines.on_request("r", Duration(i % 5 == 0 ? 6000 : 2500 + (i * 37) % 2000));
    EXPECT_GT(last, Duration(1000));
    EXPECT_EQ(deadlines.on_request("r", Duration(6000)), Duration(0));
}

RC_GTEST_PROP(CallerDeadlines, NobodyIsTakenToHaveAskedLongerAgoThanTheLongestDeadlineTells, (std::vector<uint16_t> const& values))
{
    CallerDeadlines deadlines;
    Duration longest { 0 };
    for (auto value : values) {
        longest = std::max(longest, Duration(value));
        auto const asked_before = deadlines.on_request("r", Duration(value));
        RC_ASSERT(asked_before >= Duration(0));
        RC_ASSERT(asked_before <= longest - Duration(value));
    }
}

TEST(LeftoverPace, TheUsualIntervalHoldsUntilOneWasSeenAndALongWaitCountsAsItStands)
{
    LeftoverPace pace;
    pace.on_first_waiting(Time(1000));
    EXPECT_EQ(pace.gap(Time(1000), Duration(50)), Duration(50));
    EXPECT_EQ(pace.gap(Time(1200), Duration(50)), Duration(200));
    pace.on_sent(Time(1200));
    EXPECT_EQ(pace.gap(Time(1200), Duration(50)), Duration(200));
    for (Time now { 1220 }; now < Time(3000); now += Duration(20))
        pace.on_sent(now);
    EXPECT_LT(pace.gap(Time(2980), Duration(50)), Duration(25));
    EXPECT_EQ(pace.gap(Time(3480), Duration(50)), Duration(500));
}
