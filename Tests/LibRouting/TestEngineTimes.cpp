// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/EngineTimes.h>
#include <gtest/gtest.h>

using Routing::EngineTimes;

static Schema::EngineTiming stated()
{
    Schema::EngineTiming timing {};
    timing.slots = 16;
    timing.stride = 5;
    timing.step_ms = 9;
    timing.per_sequence_ms = 0.5;
    timing.context_ms_per_1000 = 0;
    timing.prompt_tokens_per_second = 20000;
    timing.pairs_ms_per_million = 2;
    timing.usual_prompt_tokens = 1000;
    timing.usual_answer_tokens = 100;
    return timing;
}

TEST(EngineTimes, StatedRatesGiveTheTimes)
{
    EngineTimes const times(stated());
    EXPECT_DOUBLE_EQ(times.read_ms(1000), 50 + 1);
    EXPECT_DOUBLE_EQ(times.step_ms(16), 17);
    EXPECT_DOUBLE_EQ(times.pass_ms(16), 85);
    EXPECT_DOUBLE_EQ(times.full_service_ms(), 100 * 17 + 16 * 51);
}

TEST(EngineTimes, StatedRatesAreNotCorrected)
{
    EngineTimes times(stated());
    for (int i = 0; i < 100; ++i)
        times.on_first_event(100, 300);
    EXPECT_DOUBLE_EQ(times.correction(), 1);
}

TEST(EngineTimes, WithoutARateTheFirstEventsSeenCorrectThePrediction)
{
    auto timing = stated();
    timing.prompt_tokens_per_second.reset();
    EngineTimes times(timing);
    for (int i = 0; i < 100; ++i)
        times.on_first_event(100 * times.correction(), 300);
    EXPECT_NEAR(times.correction(), 3, 0.01);
    times.on_first_event(100 * times.correction(), 1e9);
    EXPECT_LT(times.correction(), 4);
}

TEST(EngineTimes, AZeroRateIsNoRate)
{
    auto timing = stated();
    timing.prompt_tokens_per_second = 0;
    timing.slots = 0;
    EngineTimes const times(timing);
    EXPECT_GT(times.read_ms(1000), 0);
    EXPECT_LT(times.turnover_ms(), 1e6);
}
