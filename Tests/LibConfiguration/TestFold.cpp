// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/Fold.h>
#include <LibSchema/Json.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Configuration;

static std::string change_record(std::string const& id, std::string const& name, int64_t expected, int64_t replicas, bool is_delete = false)
{
    Schema::RolloutSpec spec;
    spec.model = "m";
    spec.version = "v";
    spec.services = { "s" };
    spec.replicas = replicas;
    Schema::LogRecord record;
    record.change.emplace();
    record.change->change_id = id;
    record.change->kind = Schema::ChangeKind::Rollout;
    record.change->name = name;
    record.change->operation = is_delete ? Schema::Operation::Delete : Schema::Operation::Put;
    record.change->expected_revision = expected;
    record.change->spec = is_delete ? "" : Schema::to_text(spec);
    return Schema::to_text(record);
}

TEST(Fold, ALaterChangeToTheSameRevisionLosesEverywhere)
{
    Fold fold;
    fold.apply(change_record("first", "r", no_revision, 1));
    fold.apply(change_record("second", "r", no_revision, 2));
    EXPECT_EQ(fold.rollouts().at("r").replicas, 1);
    EXPECT_EQ(fold.outcome("second")->failure, Schema::Failure::RevisionConflict);
    EXPECT_EQ(fold.outcome("second")->revision, 0);
}

TEST(Fold, AnAppendRepeatedAfterALostAnswerIsAppliedOnce)
{
    Fold fold;
    fold.apply(change_record("one", "r", no_revision, 1));
    fold.apply(change_record("gone", "r", 0, 0, true));
    fold.apply(change_record("one", "r", no_revision, 1));
    EXPECT_FALSE(fold.rollouts().contains("r"));
    EXPECT_EQ(fold.outcome("one")->revision, 0);
}

TEST(Fold, ARecordThatCannotBeReadFoldsToNothing)
{
    Fold fold;
    for (auto const* body : { "", "{", "[]", R"({"change":{"kind":"nothing"}})", R"({"else":1})" })
        fold.apply(body);
    EXPECT_EQ(fold.offset(), 4);
    EXPECT_TRUE(fold.resources().empty());
}

TEST(Fold, AnInvalidSpecIsRejectedWithItsReason)
{
    Fold fold;
    fold.apply(change_record("bad", "r", no_revision, -1));
    EXPECT_EQ(fold.outcome("bad")->failure, Schema::Failure::InvalidSpec);
    EXPECT_TRUE(fold.rollouts().empty());
}

namespace {

/// Returns records of operators who change the same resources at the same time. Each expects the revision that it last read, which may be
/// outdated.
std::vector<std::string> racing_changes()
{
    auto const count = *rc::gen::inRange(1, 60);
    std::vector<std::string> records;
    for (int i = 0; i < count; ++i) {
        auto const id = *rc::gen::inRange(0, 40);
        auto const name = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
        auto const expected = *rc::gen::inRange<int64_t>(-1, i + 1);
        bool const is_delete = *rc::gen::inRange(0, 5) == 0;
        records.push_back(change_record("c" + std::to_string(id), name, expected, i, is_delete));
    }
    return records;
}

}

RC_GTEST_PROP(Fold, AtMostOneChangeWinsEachRevisionAndNoneReverts, ())
{
    Fold fold;
    std::map<std::pair<std::string, int64_t>, std::string> winners;
    for (auto const& body : racing_changes()) {
        auto const change = *Schema::from_text<Schema::LogRecord>(body)->change;
        bool const was_decided = fold.outcome(change.change_id).has_value();
        auto const before = fold.rollout_revision(change.name);
        fold.apply(body);
        auto const outcome = fold.outcome(change.change_id);
        RC_ASSERT(outcome.has_value());
        if (was_decided || outcome->failure) {
            RC_ASSERT(fold.rollout_revision(change.name) == before);
            continue;
        }
        RC_ASSERT(change.expected_revision == before);
        // A revision is an offset, so a resource that was deleted and created again never reuses a revision.
        RC_ASSERT(winners.emplace(std::pair(change.name, fold.offset()), change.change_id).second);
        auto const after = fold.rollout_revision(change.name);
        RC_ASSERT(after == fold.offset() || after == no_revision);
    }
}

RC_GTEST_PROP(Fold, AStateTakenOverContinuesLikeTheFoldItCameFrom, ())
{
    auto const records = racing_changes();
    auto const cut = *rc::gen::inRange<size_t>(0, records.size());
    Fold whole;
    Fold taken_over;
    for (size_t i = 0; i < records.size(); ++i) {
        whole.apply(records[i]);
        if (i < cut)
            continue;
        if (i == cut)
            RC_ASSERT(taken_over.advance_to(*Schema::from_text<Schema::FoldState>(Schema::to_text(whole.state()))));
        else
            taken_over.apply(records[i]);
    }
    RC_ASSERT(Schema::to_text(taken_over.state()) == Schema::to_text(whole.state()));
}

TEST(Fold, AServiceCannotTakeThePathsOfTheEntryItself)
{
    EXPECT_TRUE(check_spec(Schema::ChangeKind::Service, "ledger-api", R"({"kind":"plain"})").has_value());
    for (auto const* name : { "api", "metrics", "healthz", "a/b", "" })
        EXPECT_FALSE(check_spec(Schema::ChangeKind::Service, name, R"({"kind":"plain"})").has_value()) << name;
}

TEST(Fold, WeightsOfARolloutAreTheVersionThenItsAdapters)
{
    auto version = [](std::string const& adapter, std::string const& digest) {
        Schema::VersionSpec spec;
        spec.model = "m";
        spec.version = "v";
        if (!adapter.empty())
            spec.adapters = { adapter };
        Schema::Chunk chunk;
        chunk.digest = digest;
        chunk.bytes = 1;
        spec.chunks = { chunk };
        spec.digest = weights_digest(spec.chunks);
        Schema::LogRecord record;
        record.change.emplace();
        record.change->change_id = adapter + digest;
        record.change->kind = Schema::ChangeKind::Version;
        record.change->name = version_name("m", "v", adapter);
        record.change->operation = Schema::Operation::Put;
        record.change->expected_revision = no_revision;
        record.change->spec = Schema::to_text(spec);
        return Schema::to_text(record);
    };
    Fold fold;
    fold.apply(version("", "base"));
    Schema::RolloutSpec rollout;
    rollout.model = "m";
    rollout.version = "v";
    rollout.adapters = { "latvian" };
    EXPECT_FALSE(weights_of(fold, rollout).has_value());
    fold.apply(version("latvian", "extra"));
    auto const weights = weights_of(fold, rollout);
    ASSERT_TRUE(weights.has_value());
    EXPECT_EQ(weights->chunks.size(), 2u);
    EXPECT_EQ(weights->digest, weights_digest(weights->chunks));
}
