// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/ReceiveTimeout.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Routing;
using Core::Duration;
using Core::Time;

static constexpr Duration timeout { 900 };
static constexpr Duration iteration { 20 };

TEST(ReceiveTimeout, CountsFromTheLastBytes)
{
    ReceiveTimeout timeout_check;
    timeout_check.on_received(Time(1000));
    EXPECT_FALSE(timeout_check.check_timeout(Time(1880), timeout));
    EXPECT_FALSE(timeout_check.check_timeout(Time(1900), timeout));
    EXPECT_TRUE(timeout_check.check_timeout(Time(1920), timeout));
}

TEST(ReceiveTimeout, BytesUnreadAtTheFirstCheckRestartTheTimeout)
{
    ReceiveTimeout timeout_check;
    timeout_check.on_received(Time(0));
    EXPECT_FALSE(timeout_check.check_timeout(Time(1200), timeout));
    timeout_check.on_received(Time(1205));
    EXPECT_FALSE(timeout_check.check_timeout(Time(1220), timeout));
    EXPECT_EQ(timeout_check.elapsed(Time(1220)), Duration(15));
}

TEST(ReceiveTimeout, ALongerTimeoutAtOneCheckRestartsTheTwoChecks)
{
    ReceiveTimeout timeout_check;
    timeout_check.on_received(Time(0));
    EXPECT_FALSE(timeout_check.check_timeout(Time(1000), timeout));
    EXPECT_FALSE(timeout_check.check_timeout(Time(1020), 2 * timeout));
    EXPECT_FALSE(timeout_check.check_timeout(Time(1040), timeout));
    EXPECT_TRUE(timeout_check.check_timeout(Time(1060), timeout));
}

/// Guards against a false timeout in an entry that the host pauses for up to 2 s between iterations of the event loop, while the server
/// keeps sending.
RC_GTEST_PROP(ReceiveTimeout, AServerThatIsReadInEachIterationNeverTimesOutEvenIfTheProcessIsPaused, ())
{
    ReceiveTimeout timeout_check;
    Time running { 0 };
    timeout_check.on_received(running);
    auto const iterations = *rc::gen::inRange(1, 100);
    for (int i = 0; i < iterations; ++i) {
        // The time that a pause adds to the clock of running time.
        running += Duration(*rc::gen::inRange(0, 2000));
        // The timer may fire before the bytes are read, but not twice in a row.
        RC_ASSERT(!timeout_check.check_timeout(running, timeout));
        running += iteration;
        timeout_check.on_received(running);
    }
}
