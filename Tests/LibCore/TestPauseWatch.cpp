// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/PauseWatch.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <thread>

using namespace Core;

// Longer than what counts as a pause.
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
    // The machine itself may keep the test waiting.
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
    // What was waited for only since then cannot have come before.
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
