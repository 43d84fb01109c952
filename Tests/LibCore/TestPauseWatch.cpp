// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/PauseWatch.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <thread>

using namespace Core;

// Longer than the shortest gap that counts as a pause (500 ms).
static constexpr std::chrono::milliseconds stand_still { 700 };

TEST(PauseWatch, ALoopThatTurnsHasNoPause)
{
    EventLoop loop;
    PauseWatch const pauses(loop);
    auto turned_at = monotonic_now();
    Duration longest_gap { 0 };
    auto const turns = loop.every(Duration(10), [&] {
        auto const now = monotonic_now();
        longest_gap = std::max(longest_gap, now - turned_at);
        turned_at = now;
    });
    auto const end = loop.after(Duration(250), [&] { loop.stop(); });
    loop.run();
    auto const now = monotonic_now();
    // A busy machine may delay the test itself, which then is a real pause.
    bool const stood_still = std::max(longest_gap, now - turned_at) > Duration(300);
    EXPECT_TRUE(stood_still || pauses.earliest_arrival(now - Duration(200), now) == now);
}

TEST(PauseWatch, WhatIsReadRightAfterAPauseMayHaveComeInIt)
{
    EventLoop loop;
    PauseWatch const pauses(loop);
    auto const began_by = monotonic_now();
    std::this_thread::sleep_for(stand_still);
    auto const now = monotonic_now();
    EXPECT_LE(pauses.earliest_arrival(Time(0), now), began_by);
    // Data cannot have arrived before the wait for it began.
    EXPECT_EQ(pauses.earliest_arrival(now, now), now);
}

TEST(PauseWatch, APauseIsRememberedWhenTheLoopTurnsAgain)
{
    EventLoop loop;
    PauseWatch const pauses(loop);
    auto const began_by = monotonic_now();
    std::this_thread::sleep_for(stand_still);
    auto const ended_by = monotonic_now();
    auto const end = loop.after(Duration(250), [&] { loop.stop(); });
    loop.run();
    EXPECT_LE(pauses.earliest_arrival(began_by, monotonic_now()), began_by);
    auto const later = monotonic_now();
    EXPECT_GE(later - Duration(100), ended_by);
    EXPECT_EQ(pauses.earliest_arrival(later, later), later);
}

TEST(PauseWatch, APauseIsToldOnceToWhoeverLooksFirst)
{
    EventLoop loop;
    PauseWatch pauses(loop);
    std::vector<Duration> told;
    pauses.on_woke(Duration(600), [&](Duration paused_for) { told.push_back(paused_for); });
    std::this_thread::sleep_for(stand_still);
    pauses.look();
    pauses.look();
    ASSERT_EQ(told.size(), 1u);
    EXPECT_GE(told[0], stand_still);
    auto const end = loop.after(Duration(250), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(told.size(), 1u);
}

TEST(PauseWatch, TheClockOfDecisionsCountsSuspendedTime)
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

TEST(PauseWatch, TheRunningTimeLeavesOutWhatTheProcessStoodStill)
{
    EventLoop loop;
    PauseWatch pauses(loop);
    auto const before = pauses.running_time(monotonic_now());
    std::this_thread::sleep_for(stand_still);
    auto const during = monotonic_now();
    EXPECT_LE(pauses.running_time(during) - before, Duration(200));
    pauses.look();
    // After the check the clock continues from the same value and never decreases.
    auto const after = monotonic_now();
    EXPECT_GE(pauses.running_time(after), pauses.running_time(during));
    EXPECT_LE(pauses.running_time(after) - before, Duration(200) + (after - during));
}

TEST(PauseWatch, TheRunningTimeHardlyGoesOnInAProcessThatRunsInSlices)
{
    EventLoop loop;
    PauseWatch pauses(loop);
    auto const began = monotonic_now();
    auto const before = pauses.running_time(began);
    for (int slice = 0; slice < 3; ++slice) {
        std::this_thread::sleep_for(stand_still);
        pauses.look();
    }
    auto const now = monotonic_now();
    EXPECT_GE(now - began, 3 * stand_still);
    EXPECT_LE(pauses.running_time(now) - before, Duration(3 * 200) + (monotonic_now() - now));
}
