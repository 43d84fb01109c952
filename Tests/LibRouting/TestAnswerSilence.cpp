// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AnswerSilence.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Routing;
using Core::Duration;
using Core::Time;

static constexpr Duration patience { 900 };
static constexpr Duration turn { 20 };

TEST(AnswerSilence, CountsFromTheLastBytes)
{
    AnswerSilence silence;
    silence.on_heard(Time(1000));
    EXPECT_FALSE(silence.look(Time(1880), patience));
    EXPECT_FALSE(silence.look(Time(1900), patience));
    EXPECT_TRUE(silence.look(Time(1920), patience));
}

TEST(AnswerSilence, WhatLayUnreadAtTheFirstLookEndsIt)
{
    AnswerSilence silence;
    silence.on_heard(Time(0));
    EXPECT_FALSE(silence.look(Time(1200), patience));
    silence.on_heard(Time(1205));
    EXPECT_FALSE(silence.look(Time(1220), patience));
    EXPECT_EQ(silence.lasts(Time(1220)), Duration(15));
}

TEST(AnswerSilence, ALongerPatienceMeanwhileBeginsTheLooksAnew)
{
    AnswerSilence silence;
    silence.on_heard(Time(0));
    EXPECT_FALSE(silence.look(Time(1000), patience));
    EXPECT_FALSE(silence.look(Time(1020), 2 * patience));
    EXPECT_FALSE(silence.look(Time(1040), patience));
    EXPECT_TRUE(silence.look(Time(1060), patience));
}

/// Guards against a false timeout in an entry that the host pauses for up to 2 s between iterations of the event loop, while the server
/// keeps sending.
RC_GTEST_PROP(AnswerSilence, AServerThatIsReadEachTurnIsNeverSilentHoweverRarelyTheProcessRuns, ())
{
    AnswerSilence silence;
    Time running { 0 };
    silence.on_heard(running);
    auto const turns = *rc::gen::inRange(1, 100);
    for (int i = 0; i < turns; ++i) {
        // The time that a pause adds to the clock of running time.
        running += Duration(*rc::gen::inRange(0, 2000));
        // The timer may fire before the bytes are read, but not twice in a row.
        RC_ASSERT(!silence.look(running, patience));
        running += turn;
        silence.on_heard(running);
    }
}
