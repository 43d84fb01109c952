// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/LoadCheck.h>
#include <gtest/gtest.h>

using namespace Distribution;

static constexpr Core::Duration allowed { 2900 };
static constexpr Core::Time taken_by { 10000 };
using Verdict = LoadCheck::Verdict;

static LoadCheck check_of(std::vector<std::optional<Core::Time>> const& verified_at)
{
    return { taken_by, verified_at, allowed };
}

TEST(LoadCheck, ALoadIsWholeOnceEveryChunkIsRight)
{
    auto check = check_of({ taken_by - allowed, std::nullopt });
    EXPECT_EQ(check.verdict(), Verdict::Open);
    check.on_read_back(0, ReadBack::Right, false);
    EXPECT_EQ(check.verdict(), Verdict::Open);
    EXPECT_FALSE(check.is_due(0));
    EXPECT_TRUE(check.is_due(1));
    check.on_read_back(1, ReadBack::Unanswered, false);
    EXPECT_TRUE(check.is_due(1));
    check.on_read_back(1, ReadBack::Right, false);
    EXPECT_EQ(check.verdict(), Verdict::Whole);
}

TEST(LoadCheck, ACorruptChunkIsAllowedIfItWasRightShortlyBeforeTheLoad)
{
    auto in_time = check_of({ taken_by - allowed });
    in_time.on_read_back(0, ReadBack::Wrong, false);
    EXPECT_EQ(in_time.verdict(), Verdict::Whole);
    auto too_early = check_of({ taken_by - allowed - Core::Duration(1) });
    too_early.on_read_back(0, ReadBack::Wrong, false);
    EXPECT_EQ(too_early.verdict(), Verdict::Doubtful);
    auto never = check_of({ std::nullopt });
    never.on_read_back(0, ReadBack::Wrong, false);
    EXPECT_EQ(never.verdict(), Verdict::Doubtful);
}

TEST(LoadCheck, AnAbsentChunkIsNeverAllowed)
{
    auto check = check_of({ taken_by });
    check.on_read_back(0, ReadBack::Absent, false);
    EXPECT_EQ(check.verdict(), Verdict::Doubtful);
}

TEST(LoadCheck, AWrongChunkThatALateWriteMayHaveReplacedIsNotAllowed)
{
    auto check = check_of({ taken_by });
    check.on_read_back(0, ReadBack::Wrong, true);
    EXPECT_EQ(check.verdict(), Verdict::Doubtful);
}

TEST(LoadCheck, ARightChunkThatALateWriteMayHaveRepairedShowsNothing)
{
    auto check = check_of({ std::nullopt, taken_by });
    check.on_read_back(0, ReadBack::Right, true);
    check.on_read_back(1, ReadBack::Right, true);
    EXPECT_EQ(check.verdict(), Verdict::Open);
    EXPECT_TRUE(check.is_due(0));
    check.on_read_back(0, ReadBack::Right, false);
    EXPECT_EQ(check.verdict(), Verdict::Whole);
}

TEST(LoadCheck, OneWrongChunkDecides)
{
    auto check = check_of({ std::nullopt, taken_by });
    check.on_read_back(0, ReadBack::Wrong, false);
    check.on_read_back(1, ReadBack::Right, false);
    EXPECT_EQ(check.verdict(), Verdict::Doubtful);
}
