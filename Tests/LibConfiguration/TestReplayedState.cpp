// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/ReplayedState.h>
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

TEST(ReplayedState, ALaterChangeThatExpectsTheSameRevisionIsRejected)
{
    ReplayedState replayed_state;
    replayed_state.apply(change_record("first", "r", no_revision, 1));
    replayed_state.apply(change_record("second", "r", no_revision, 2));
    EXPECT_EQ(replayed_state.rollouts().at("r").replicas, 1);
    EXPECT_EQ(replayed_state.outcome("second")->failure, Schema::Failure::RevisionConflict);
    EXPECT_EQ(replayed_state.outcome("second")->revision, 0);
}

TEST(ReplayedState, ARepeatedChangeIsAppliedOnce)
{
    ReplayedState replayed_state;
    replayed_state.apply(change_record("one", "r", no_revision, 1));
    replayed_state.apply(change_record("gone", "r", 0, 0, true));
    replayed_state.apply(change_record("one", "r", no_revision, 1));
    EXPECT_FALSE(replayed_state.rollouts().contains("r"));
    EXPECT_EQ(replayed_state.outcome("one")->revision, 0);
}

TEST(ReplayedState, AnUnreadableRecordChangesNoResource)
{
    ReplayedState replayed_state;
    for (auto const* body : { "", "{", "[]", R"({"change":{"kind":"nothing"}})", R"({"else":1})" })
        replayed_state.apply(body);
    EXPECT_EQ(replayed_state.offset(), 4);
    EXPECT_TRUE(replayed_state.resources().empty());
}

TEST(ReplayedState, AnInvalidSpecIsRejectedWithItsReason)
{
    ReplayedState replayed_state;
    replayed_state.apply(change_record("bad", "r", no_revision, -1));
    EXPECT_EQ(replayed_state.outcome("bad")->failure, Schema::Failure::InvalidSpec);
    EXPECT_TRUE(replayed_state.rollouts().empty());
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

RC_GTEST_PROP(ReplayedState, AtMostOneChangeIsAcceptedForEachRevision, ())
{
    ReplayedState replayed_state;
    std::map<std::pair<std::string, int64_t>, std::string> winners;
    for (auto const& body : racing_changes()) {
        auto const change = *Schema::from_text<Schema::LogRecord>(body)->change;
        bool const was_decided = replayed_state.outcome(change.change_id).has_value();
        auto const before = replayed_state.rollout_revision(change.name);
        replayed_state.apply(body);
        auto const outcome = replayed_state.outcome(change.change_id);
        RC_ASSERT(outcome.has_value());
        if (was_decided || outcome->failure) {
            RC_ASSERT(replayed_state.rollout_revision(change.name) == before);
            continue;
        }
        RC_ASSERT(change.expected_revision == before);
        // A revision is an offset, so a resource that was deleted and created again never reuses a revision.
        RC_ASSERT(winners.emplace(std::pair(change.name, replayed_state.offset()), change.change_id).second);
        auto const after = replayed_state.rollout_revision(change.name);
        RC_ASSERT(after == replayed_state.offset() || after == no_revision);
    }
}

RC_GTEST_PROP(ReplayedState, AStateRestoredFromASnapshotContinuesLikeTheOriginal, ())
{
    auto const records = racing_changes();
    auto const cut = *rc::gen::inRange<size_t>(0, records.size());
    ReplayedState whole;
    ReplayedState taken_over;
    for (size_t i = 0; i < records.size(); ++i) {
        whole.apply(records[i]);
        if (i < cut)
            continue;
        if (i == cut)
            RC_ASSERT(taken_over.advance_to(*Schema::from_text<Schema::FoldState>(Schema::to_text(whole.snapshot_state()))));
        else
            taken_over.apply(records[i]);
    }
    RC_ASSERT(Schema::to_text(taken_over.snapshot_state()) == Schema::to_text(whole.snapshot_state()));
}

TEST(ReplayedState, AServiceCannotBeNamedLikeAPathOfTheEntry)
{
    EXPECT_TRUE(check_spec(Schema::ChangeKind::Service, "ledger-api", R"({"kind":"plain"})").has_value());
    for (auto const* name : { "api", "metrics", "healthz", "a/b", "" })
        EXPECT_FALSE(check_spec(Schema::ChangeKind::Service, name, R"({"kind":"plain"})").has_value()) << name;
}

TEST(ReplayedState, WeightsOfARolloutAreTheVersionThenItsAdapters)
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
    ReplayedState replayed_state;
    replayed_state.apply(version("", "base"));
    Schema::RolloutSpec rollout;
    rollout.model = "m";
    rollout.version = "v";
    rollout.adapters = { "latvian" };
    EXPECT_FALSE(weights_of(replayed_state, rollout).has_value());
    replayed_state.apply(version("latvian", "extra"));
    auto const weights = weights_of(replayed_state, rollout);
    ASSERT_TRUE(weights.has_value());
    EXPECT_EQ(weights->chunks.size(), 2u);
    EXPECT_EQ(weights->digest, weights_digest(weights->chunks));
}
