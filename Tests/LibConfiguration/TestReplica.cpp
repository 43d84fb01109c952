// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/Replica.h>
#include <LibConfiguration/SnapshotSchedule.h>
#include <LibSchema/Json.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Configuration;

namespace {

/// A log with limited retention, like the platform's.
struct FakeLog {
    std::vector<std::string> bodies;
    int64_t first_retained { 0 };

    LogBatch read(int64_t from, int64_t most) const
    {
        LogBatch batch;
        batch.first_retained = first_retained;
        batch.end = static_cast<int64_t>(bodies.size());
        for (auto offset = std::max(from, first_retained); offset < batch.end && most-- > 0; ++offset) {
            Schema::Record record;
            record.offset = offset;
            record.body = bodies[static_cast<size_t>(offset)];
            batch.records.push_back(record);
        }
        return batch;
    }

    void add_change(int number)
    {
        Schema::CustomerSpec spec {};
        spec.concurrency = number;
        Schema::LogRecord record;
        record.change.emplace();
        record.change->change_id = std::to_string(number);
        record.change->kind = Schema::ChangeKind::Customer;
        record.change->name = "c" + std::to_string(number % 5);
        record.change->operation = Schema::Operation::Put;
        record.change->expected_revision = number < 5 ? -1 : *latest(number % 5);
        record.change->spec = Schema::to_text(spec);
        bodies.push_back(Schema::to_text(record));
        revisions[number % 5] = static_cast<int64_t>(bodies.size()) - 1;
    }

    std::optional<int64_t> latest(int name) const { return revisions.at(name); }
    std::map<int, int64_t> revisions;
};

void read_all(Replica& replica, FakeLog const& log, int64_t page)
{
    for (size_t i = 0; i < 1000 && replica.next_offset() < static_cast<int64_t>(log.bodies.size()); ++i)
        replica.on_log(log.read(replica.next_offset(), page));
}

}

RC_GTEST_PROP(Replica, AReplicaThatStartsLateReachesTheSameStateAlthoughRecordsWereDeleted, ())
{
    FakeLog log;
    Replica long_running;
    auto const changes = *rc::gen::inRange(5, 60);
    auto const page = *rc::gen::inRange<int64_t>(1, 20);
    std::vector<int64_t> snapshots;
    for (int i = 0; i < changes; ++i) {
        log.add_change(i);
        // A snapshot may be appended after records that its writer has not read yet.
        bool const writes_snapshot = *rc::gen::inRange(0, 8) == 0;
        if (*rc::gen::inRange(0, 3) != 0)
            read_all(long_running, log, page);
        if (writes_snapshot && long_running.replayed_state().offset() >= 0) {
            snapshots.push_back(long_running.replayed_state().offset());
            log.bodies.push_back(long_running.snapshot_record());
        }
    }
    read_all(long_running, log, page);
    if (!snapshots.empty()) {
        auto const kept = *rc::gen::elementOf(snapshots);
        log.first_retained = *rc::gen::inRange<int64_t>(0, kept + 2);
    }
    Replica started_later;
    read_all(started_later, log, page);
    RC_ASSERT(started_later.replayed_state().offset() == long_running.replayed_state().offset());
    RC_ASSERT(Schema::to_text(started_later.replayed_state().snapshot_state()) == Schema::to_text(long_running.replayed_state().snapshot_state()));
    RC_ASSERT(long_running.divergences() == 0u);
    RC_ASSERT(started_later.divergences() == 0u);
}

RC_GTEST_PROP(Replica, TheOffsetNeverDecreasesAndNoRecordIsSkipped, ())
{
    FakeLog log;
    for (int i = 0; i < 40; ++i)
        log.add_change(i);
    std::vector<Replica> replicas(3);
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        auto& target = replicas[*rc::gen::inRange<size_t>(0, replicas.size())];
        auto const before = target.replayed_state().offset();
        if (*rc::gen::inRange(0, 2) == 0) {
            // A batch read at any offset, as in a delayed response.
            target.on_log(log.read(*rc::gen::inRange<int64_t>(0, 41), *rc::gen::inRange<int64_t>(1, 10)));
        } else {
            auto const& source = replicas[*rc::gen::inRange<size_t>(0, replicas.size())];
            for (auto const& message : source.messages_since(*rc::gen::inRange<int64_t>(-1, 41)))
                target.on_message(message);
        }
        RC_ASSERT(target.replayed_state().offset() >= before);
        ReplayedState expected;
        for (int64_t offset = 0; offset <= target.replayed_state().offset(); ++offset)
            expected.apply(log.bodies[static_cast<size_t>(offset)]);
        RC_ASSERT(target.replayed_state().chain() == expected.chain());
    }
}

TEST(Replica, ASnapshotWithAnotherDigestIsCounted)
{
    FakeLog log;
    log.add_change(0);
    Replica replica;
    read_all(replica, log, 10);
    auto record = Schema::from_text<Schema::LogRecord>(replica.snapshot_record());
    record->snapshot->chain = "other";
    log.bodies.push_back(Schema::to_text(*record));
    read_all(replica, log, 10);
    EXPECT_EQ(replica.divergences(), 1u);
}

TEST(SnapshotSchedule, ASnapshotIsDueWellBeforeRetentionEndsAndReadingOneRestartsTheWait)
{
    Core::Duration const retention { 100000 };
    SnapshotSchedule schedule(retention, 1);
    EXPECT_FALSE(schedule.poll_due(Core::Time(0)));
    schedule.on_snapshot_read(Core::Time(20000));
    EXPECT_FALSE(schedule.poll_due(Core::Time(20000) + retention / 4 - Core::Duration(1)));
    EXPECT_TRUE(schedule.poll_due(Core::Time(20000) + retention / 2));
    // The snapshot was not read back yet, so it is due again after the retry interval.
    EXPECT_FALSE(schedule.poll_due(Core::Time(20001) + retention / 2));
    EXPECT_TRUE(schedule.poll_due(Core::Time(20000) + retention / 2 + SnapshotSchedule::retry_interval));
}
