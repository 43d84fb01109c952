// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RecentPrompts.h>
#include <algorithm>
#include <cstddef>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using Routing::RecentPrompts;

TEST(RecentPrompts, TheFirstPromptIsThatOfAllKnown)
{
    RecentPrompts prompts;
    EXPECT_EQ(prompts.record("route", 700), 700);
    EXPECT_EQ(prompts.record("other", 20), 20);
}

// One caller with very long prompts must not change by what the others are judged.
TEST(RecentPrompts, AFewVeryLongPromptsAreLeftOut)
{
    RecentPrompts prompts;
    for (int i = 0; i < 64; ++i)
        prompts.record("route", i % 16 == 7 ? 100000 : 900);
    EXPECT_EQ(prompts.record("route", 100000), 900);
}

RC_GTEST_PROP(RecentPrompts, AtMostATenthOfTheRecentPromptsIsLonger, ())
{
    auto const lengths = *rc::gen::nonEmpty(rc::gen::container<std::vector<int64_t>>(rc::gen::inRange<int64_t>(0, 10000)));
    RecentPrompts prompts;
    int64_t typical = 0;
    for (auto length : lengths)
        typical = prompts.record("route", length);
    auto const recent = std::min<size_t>(64, lengths.size());
    auto const longer = std::count_if(lengths.end() - static_cast<std::ptrdiff_t>(recent), lengths.end(), [&](auto length) { return length > typical; });
    RC_ASSERT(static_cast<size_t>(longer) <= recent / 10);
}
