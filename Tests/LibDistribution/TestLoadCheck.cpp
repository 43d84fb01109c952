// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/LoadCheck.h>
#include <gtest/gtest.h>

using namespace Distribution;

static constexpr Core::Duration allowed { 2900 };
static constexpr Core::Time taken_by { 10000 };
using Verdict = LoadCheck::Verdict;

static LoadCheck check_of(std::vector<std::optional<Core::Time>> const& verified_at, bool could_change_unseen = false)
{
    return { taken_by, verified_at, could_change_unseen, allowed };
}

TEST(LoadCheck, ALoadIsWholeOnceEveryChunkIsRight)
{
    auto check = check_of({ taken_by - allowed, std::nullopt });
    EXPECT_EQ(check.verdict(), Verdict::Open);
    check.on_read_back(0, ReadBack::Right);
    EXPECT_EQ(check.verdict(), Verdict::Open);
    EXPECT_FALSE(check.is_due(0));
    EXPECT_TRUE(check.is_due(1));
    check.on_read_back(1, ReadBack::Unanswered);
    EXPECT_TRUE(check.is_due(1));
    check.on_read_back(1, ReadBack::Right);
    EXPECT_EQ(check.verdict(), Verdict::Whole);
}

TEST(LoadCheck, ACorruptChunkIsAllowedIfItWasRightShortlyBeforeTheLoad)
{
    auto in_time = check_of({ taken_by - allowed });
    in_time.on_read_back(0, ReadBack::Wrong);
    EXPECT_EQ(in_time.verdict(), Verdict::Whole);
    auto too_early = check_of({ taken_by - allowed - Core::Duration(1) });
    too_early.on_read_back(0, ReadBack::Wrong);
    EXPECT_EQ(too_early.verdict(), Verdict::Doubtful);
    auto never = check_of({ std::nullopt });
    never.on_read_back(0, ReadBack::Wrong);
    EXPECT_EQ(never.verdict(), Verdict::Doubtful);
}

TEST(LoadCheck, AnAbsentChunkIsNeverAllowed)
{
    auto check = check_of({ taken_by });
    check.on_read_back(0, ReadBack::Absent);
    EXPECT_EQ(check.verdict(), Verdict::Doubtful);
}

TEST(LoadCheck, AWrongChunkThatALateWriteMayHaveReplacedIsNotAllowed)
{
    auto check = check_of({ taken_by }, true);
    check.on_read_back(0, ReadBack::Wrong);
    EXPECT_EQ(check.verdict(), Verdict::Doubtful);
}

TEST(LoadCheck, ARightChunkThatALateWriteMayHaveRepairedMustHaveBeenVerifiedInTime)
{
    auto in_time = check_of({ taken_by }, true);
    in_time.on_read_back(0, ReadBack::Right);
    EXPECT_EQ(in_time.verdict(), Verdict::Whole);
    for (auto const& verified_at : { std::optional<Core::Time>(), std::optional(taken_by - allowed - Core::Duration(1)) }) {
        auto check = check_of({ verified_at }, true);
        check.on_read_back(0, ReadBack::Right);
        EXPECT_EQ(check.verdict(), Verdict::Doubtful);
    }
}

TEST(LoadCheck, OneWrongChunkDecides)
{
    auto check = check_of({ std::nullopt, taken_by });
    check.on_read_back(0, ReadBack::Wrong);
    check.on_read_back(1, ReadBack::Right);
    EXPECT_EQ(check.verdict(), Verdict::Doubtful);
}
