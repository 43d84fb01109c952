// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/EngineTimingModel.h>
#include <gtest/gtest.h>

using Routing::EngineTimingModel;

static Schema::EngineTiming configured_timing()
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

TEST(EngineTimingModel, ConfiguredRatesDetermineTheTimes)
{
    EngineTimingModel const times(configured_timing());
    EXPECT_DOUBLE_EQ(times.prefill_ms(1000), 50 + 1);
    EXPECT_DOUBLE_EQ(times.step_ms(16), 17);
    EXPECT_DOUBLE_EQ(times.stream_event_interval_ms(16), 85);
    EXPECT_DOUBLE_EQ(times.usual_service_ms(), 100 * 17 + 16 * 51);
}

TEST(EngineTimingModel, ConfiguredRatesAreNotCorrected)
{
    EngineTimingModel times(configured_timing());
    for (int i = 0; i < 100; ++i)
        times.on_first_event(100, 300);
    EXPECT_DOUBLE_EQ(times.correction(), 1);
}

TEST(EngineTimingModel, WithoutARateObservedFirstEventsCorrectThePrediction)
{
    auto timing = configured_timing();
    timing.prompt_tokens_per_second.reset();
    EngineTimingModel times(timing);
    for (int i = 0; i < 100; ++i)
        times.on_first_event(100 * times.correction(), 300);
    EXPECT_NEAR(times.correction(), 3, 0.01);
    times.on_first_event(100 * times.correction(), 1e9);
    EXPECT_LT(times.correction(), 4);
}

TEST(EngineTimingModel, AZeroRateIsTreatedAsMissing)
{
    auto timing = configured_timing();
    timing.prompt_tokens_per_second = 0;
    timing.slots = 0;
    EngineTimingModel const times(timing);
    EXPECT_GT(times.prefill_ms(1000), 0);
    EXPECT_LT(times.slot_interval_ms(), 1e6);
}
