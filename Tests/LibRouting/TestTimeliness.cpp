// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AnswerDeadlines.h>
#include <LibRouting/FirstRequestEstimator.h>
#include <LibRouting/SpareSlotInterval.h>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using Core::Duration;
using Core::Time;
using Routing::AnswerDeadlines;
using Routing::FirstRequestEstimator;
using Routing::SpareSlotInterval;
using Routing::Timeliness;

TEST(AnswerDeadlines, AnAnswerIsClassifiedByItsBeginAndEnd)
{
    AnswerDeadlines const terms { .in_time_until = Time(400), .deadline = Time(6000) };
    EXPECT_EQ(terms.classify(Time(400), Time(2000)), Timeliness::InTime);
    EXPECT_EQ(terms.classify(Time(401), Time(2000)), Timeliness::Late);
    EXPECT_EQ(terms.classify(Time(401), Time(6001)), Timeliness::TooLate);
}

TEST(FirstRequestEstimator, ACallerThatWaitsLessThanUsualHasSentAnEarlierRequest)
{
    FirstRequestEstimator deadlines;
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(deadlines.time_since_first_request("r", Duration(6000 - i % 2 * 8)), Duration(0));
    EXPECT_EQ(deadlines.time_since_first_request("r", Duration(4300)), Duration(1700));
    EXPECT_EQ(deadlines.time_since_first_request("other", Duration(4300)), Duration(0));
}

TEST(FirstRequestEstimator, TheFirstFewRequestsCountAsNew)
{
    FirstRequestEstimator deadlines;
    EXPECT_EQ(deadlines.time_since_first_request("r", Duration(6000)), Duration(0));
    EXPECT_EQ(deadlines.time_since_first_request("r", Duration(4300)), Duration(0));
    EXPECT_EQ(deadlines.time_since_first_request("r", Duration(4000)), Duration(0));
}

TEST(FirstRequestEstimator, AFewCallersWithLongTimeoutsDoNotMakeTheOthersLate)
{
    FirstRequestEstimator deadlines;
    for (int i = 0; i < 200; ++i)
        EXPECT_EQ(deadlines.time_since_first_request("r", Duration(i % 25 == 0 ? 9000 : 6000)), Duration(0));
}

// Timeouts vary by 15 % from caller to caller, and none has sent an earlier request.
TEST(FirstRequestEstimator, CallersOfVariedTimeoutsCountAsNew)
{
    for (auto const usual : { 1200, 6000 }) {
        FirstRequestEstimator deadlines;
        std::mt19937 random(1);
        std::uniform_int_distribution<int> spread(usual * 85 / 100, usual * 115 / 100);
        int with_earlier_request = 0;
        for (int i = 0; i < 2000; ++i)
            with_earlier_request += deadlines.time_since_first_request("r", Duration(spread(random))) > Duration(0) ? 1 : 0;
        EXPECT_LE(with_earlier_request, 20) << usual;
    }
}

TEST(FirstRequestEstimator, DuringAnOutageFewFirstRequestsStillShowTheUsualTimeout)
{
    FirstRequestEstimator deadlines;
    Duration last { 0 };
    // Four in five requests are retries, each with the rest of its caller's timeout.
    for (int i = 0; i < 300; ++i)
        last = deadlines.time_since_first_request("r", Duration(i % 5 == 0 ? 6000 : 2500 + (i * 37) % 2000));
    EXPECT_GT(last, Duration(1000));
    EXPECT_EQ(deadlines.time_since_first_request("r", Duration(6000)), Duration(0));
}

RC_GTEST_PROP(FirstRequestEstimator, NoEstimateExceedsTheLongestTimeoutSeen, (std::vector<uint16_t> const& values))
{
    FirstRequestEstimator deadlines;
    Duration longest { 0 };
    for (auto value : values) {
        longest = std::max(longest, Duration(value));
        auto const waited_before = deadlines.time_since_first_request("r", Duration(value));
        RC_ASSERT(waited_before >= Duration(0));
        RC_ASSERT(waited_before <= longest - Duration(value));
    }
}

TEST(SpareSlotInterval, TheFallbackIsUsedUntilAnIntervalWasMeasuredAndALongWaitCountsAtOnce)
{
    SpareSlotInterval interval;
    interval.on_wait_started(Time(1000));
    EXPECT_EQ(interval.expected_interval(Time(1000), Duration(50)), Duration(50));
    EXPECT_EQ(interval.expected_interval(Time(1200), Duration(50)), Duration(200));
    interval.on_sent(Time(1200));
    EXPECT_EQ(interval.expected_interval(Time(1200), Duration(50)), Duration(200));
    for (Time now { 1220 }; now < Time(3000); now += Duration(20))
        interval.on_sent(now);
    EXPECT_LT(interval.expected_interval(Time(2980), Duration(50)), Duration(25));
    EXPECT_EQ(interval.expected_interval(Time(3480), Duration(50)), Duration(500));
}
