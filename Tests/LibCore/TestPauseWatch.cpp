// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/PauseWatch.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <thread>

using namespace Core;

// Longer than the shortest gap that counts as a pause (500 ms).
static constexpr std::chrono::milliseconds pause_length { 700 };

TEST(PauseWatch, RunningLoopHasNoPause)
{
    EventLoop loop;
    PauseWatch const pauses(loop);
    auto last_iteration_at = monotonic_now();
    Duration longest_gap { 0 };
    auto const iteration_timer = loop.every(Duration(10), [&] {
        auto const now = monotonic_now();
        longest_gap = std::max(longest_gap, now - last_iteration_at);
        last_iteration_at = now;
    });
    auto const end = loop.after(Duration(250), [&] { loop.stop(); });
    loop.run();
    auto const now = monotonic_now();
    // A busy machine may delay the test itself, which then is a real pause.
    bool const was_delayed = std::max(longest_gap, now - last_iteration_at) > Duration(300);
    EXPECT_TRUE(was_delayed || pauses.earliest_arrival(now - Duration(200), now) == now);
}

TEST(PauseWatch, DataReadAfterAPauseMayHaveArrivedDuringIt)
{
    EventLoop loop;
    PauseWatch const pauses(loop);
    auto const began_by = monotonic_now();
    std::this_thread::sleep_for(pause_length);
    auto const now = monotonic_now();
    EXPECT_LE(pauses.earliest_arrival(Time(0), now), began_by);
    // Data cannot have arrived before the wait for it began.
    EXPECT_EQ(pauses.earliest_arrival(now, now), now);
}

TEST(PauseWatch, PauseIsRecordedWhenTheLoopRunsAgain)
{
    EventLoop loop;
    PauseWatch const pauses(loop);
    auto const began_by = monotonic_now();
    std::this_thread::sleep_for(pause_length);
    auto const ended_by = monotonic_now();
    auto const end = loop.after(Duration(250), [&] { loop.stop(); });
    loop.run();
    EXPECT_LE(pauses.earliest_arrival(began_by, monotonic_now()), began_by);
    auto const later = monotonic_now();
    EXPECT_GE(later - Duration(100), ended_by);
    EXPECT_EQ(pauses.earliest_arrival(later, later), later);
}

TEST(PauseWatch, PauseIsReportedOnceByTheFirstCheck)
{
    EventLoop loop;
    PauseWatch pauses(loop);
    std::vector<Duration> reported_pauses;
    pauses.on_resumed(Duration(600), [&](Duration paused_for) { reported_pauses.push_back(paused_for); });
    std::this_thread::sleep_for(pause_length);
    pauses.check_for_pause();
    pauses.check_for_pause();
    ASSERT_EQ(reported_pauses.size(), 1u);
    EXPECT_GE(reported_pauses[0], pause_length);
    auto const end = loop.after(Duration(250), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(reported_pauses.size(), 1u);
}

TEST(PauseWatch, MonotonicClockCountsSuspendedTime)
{
    // CLOCK_BOOTTIME and CLOCK_MONOTONIC differ only if the instance was suspended since it booted, so elsewhere this test cannot tell them
    // apart.
    timespec boot {};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    auto const before = std::chrono::duration_cast<Time>(std::chrono::seconds(boot.tv_sec) + std::chrono::nanoseconds(boot.tv_nsec));
    auto const now = monotonic_now();
    EXPECT_GE(now, before);
    EXPECT_LE(now - before, Duration(5000));
}

TEST(PauseWatch, RunningTimeExcludesPauses)
{
    EventLoop loop;
    PauseWatch pauses(loop);
    auto const before = pauses.running_time(monotonic_now());
    std::this_thread::sleep_for(pause_length);
    auto const during = monotonic_now();
    EXPECT_LE(pauses.running_time(during) - before, Duration(200));
    pauses.check_for_pause();
    // After the check the clock continues from the same value and never decreases.
    auto const after = monotonic_now();
    EXPECT_GE(pauses.running_time(after), pauses.running_time(during));
    EXPECT_LE(pauses.running_time(after) - before, Duration(200) + (after - during));
}

TEST(PauseWatch, RunningTimeExcludesRepeatedPauses)
{
    EventLoop loop;
    PauseWatch pauses(loop);
    auto const began = monotonic_now();
    auto const before = pauses.running_time(began);
    for (int slice = 0; slice < 3; ++slice) {
        std::this_thread::sleep_for(pause_length);
        pauses.check_for_pause();
    }
    auto const now = monotonic_now();
    EXPECT_GE(now - began, 3 * pause_length);
    EXPECT_LE(pauses.running_time(now) - before, Duration(3 * 200) + (monotonic_now() - now));
}
