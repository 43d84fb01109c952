// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/Hash.h>
#include <LibPlatform/StoredVersions.h>
#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace Platform;

namespace {

/// Records that outlive the processes of a test. A write is carried out at once, or refused.
class SharedRecords {
public:
    std::map<std::pair<std::string, int64_t>, Schema::KeptVersion> records;
    bool is_away { false };
    /// Identities of the entries whose writes are refused; other entries are served.
    std::set<std::string> refused;
    int reads { 0 };
    int writes { 0 };
};

class RecordsOfOne final : public VersionRecords {
public:
    RecordsOfOne(SharedRecords& shared, std::string identity)
        : m_shared(shared)
        , m_identity(std::move(identity))
    {
    }

    void read(ReadTimeouts, ReadCallback callback) override
    {
        m_shared.reads += 1;
        if (m_shared.is_away) {
            callback(tl::unexpected(FactLogFault::Refused));
            return;
        }
        Page page;
        for (auto const& [key, record] : m_shared.records)
            page.versions.push_back(record);
        callback(page);
    }

    void write(Schema::KeptVersion const& version, std::vector<Schema::ModelVersion> const& removed, std::function<void(bool)> callback) override
    {
        m_shared.writes += 1;
        bool const is_taken = !m_shared.is_away && !m_shared.refused.contains(m_identity);
        if (is_taken) {
            m_shared.records[{ version.model, version.version }] = version;
            for (auto const& each : removed)
                m_shared.records.erase({ each.model, each.version });
        }
        callback(is_taken);
    }

private:
    SharedRecords& m_shared;
    std::string m_identity;
};

/// The part of an entry that handles versions.
struct Process {
    Process(Core::EventLoop& loop, SharedRecords& shared, std::string const& identity, std::vector<std::string> const& linked)
        : stored(loop, std::make_unique<RecordsOfOne>(shared, identity), identity, facts, metrics,
            { .read = [this](auto const& known) { facts.on_known_versions(known, Core::monotonic_now()); }, .entries = [linked] { return linked; }, .bad_record = [](auto const&) {} })
    {
        stored.start([this] { is_started = true; });
    }

    void learn(int64_t version)
    {
        auto const now = Core::monotonic_now();
        m_revision += 1;
        facts.on_records(Configuration::FactTopic::Configuration, { { Schema::FactKind::ModelVersion, "version/m", m_revision, Schema::ModelVersion { .model = "m", .version = version } } }, m_revision + 1, { now, now });
        stored.store_new_versions();
    }

    int64_t newest() const { return facts.versions().contains("m") ? facts.versions().at("m").newest() : 0; }

    Core::Metrics metrics;
    Configuration::FactReplica facts;
    StoredVersions stored;
    bool is_started { false };

private:
    int64_t m_revision { 0 };
};

/// Starts entries that all have links to each other.
std::vector<std::unique_ptr<Process>> start_linked(Core::EventLoop& loop, SharedRecords& shared, std::vector<std::string> const& all)
{
    std::vector<std::unique_ptr<Process>> processes;
    for (auto const& identity : all) {
        auto others = all;
        std::erase(others, identity);
        processes.push_back(std::make_unique<Process>(loop, shared, identity, others));
    }
    return processes;
}

void run_for(Core::EventLoop& loop, Core::Duration duration)
{
    auto const end = loop.after(duration, [&] { loop.stop(); });
    loop.run();
}

}

TEST(StoredVersions, AStartingProcessReadsStoredVersions)
{
    Core::EventLoop loop;
    SharedRecords shared;
    auto const known_by = Core::monotonic_now() + Core::Duration(1000);
    {
        Process first(loop, shared, "a", {});
        first.learn(2);
        run_for(loop, Core::Duration(10));
        first.learn(3);
        run_for(loop, Core::Duration(10));
    }
    Process second(loop, shared, "b", {});
    EXPECT_TRUE(second.is_started);
    EXPECT_EQ(second.newest(), 3);
    EXPECT_LE(second.facts.versions().at("m").find(3)->known, known_by);
    second.learn(2);
    EXPECT_EQ(second.newest(), 3);
}

TEST(StoredVersions, TwoLinkedEntriesStoreAVersion)
{
    Core::EventLoop loop;
    SharedRecords shared;
    std::vector<std::string> const all { "a", "b", "c", "d", "e" };
    auto const processes = start_linked(loop, shared, all);
    for (auto const& process : processes)
        process->learn(2);
    run_for(loop, Core::Duration(50));
    EXPECT_EQ(shared.writes, 2);
    EXPECT_EQ(shared.records.size(), 1u);
}

TEST(StoredVersions, FailedReadsAndWritesAreRetried)
{
    Core::EventLoop loop;
    SharedRecords shared;
    shared.records[{ "m", 3 }] = { .known_at_ms = 0, .model = "m", .version = 3 };
    shared.is_away = true;
    Process process(loop, shared, "a", {});
    EXPECT_TRUE(process.is_started);
    EXPECT_FALSE(process.stored.is_read());
    process.learn(4);
    EXPECT_EQ(shared.writes, 0) << "nothing is written before the stored versions are read, as the version may already be stored";
    shared.is_away = false;
    run_for(loop, Core::Duration(1200));
    EXPECT_TRUE(process.stored.is_read());
    EXPECT_TRUE(shared.records.contains({ "m", 4 }));
    shared.is_away = true;
    process.learn(5);
    EXPECT_FALSE(shared.records.contains({ "m", 5 }));
    shared.is_away = false;
    run_for(loop, Core::Duration(1500));
    EXPECT_TRUE(shared.records.contains({ "m", 5 }));
}

TEST(StoredVersions, OnlyTheNewestVersionsOfAModelAreStored)
{
    Core::EventLoop loop;
    SharedRecords shared;
    Process process(loop, shared, "a", {});
    for (int64_t version = 2; version <= 40; ++version) {
        process.learn(version);
        run_for(loop, Core::Duration(5));
    }
    EXPECT_EQ(shared.records.size(), 16u);
    EXPECT_TRUE(shared.records.contains({ "m", 40 }));
    EXPECT_FALSE(shared.records.contains({ "m", 24 }));
}

TEST(StoredVersions, FallbackEntriesStoreAVersionIfTheStoreRefusesTheFirstWriters)
{
    Core::EventLoop loop;
    SharedRecords shared;
    std::vector<std::string> const all { "a", "b", "c", "d", "e" };
    auto const ranked = Core::rendezvous_order("m/3", all);
    shared.refused = { ranked[0], ranked[1] };
    auto const processes = start_linked(loop, shared, all);
    for (auto const& process : processes)
        process->learn(3);
    run_for(loop, Core::Duration(4000));
    EXPECT_TRUE(shared.records.contains({ "m", 3 }));
}

TEST(StoredVersions, AVersionNamedJustBeforeARestartKeepsItsDeadline)
{
    Core::EventLoop loop;
    SharedRecords shared;
    {
        Process first(loop, shared, "a", {});
        first.learn(2);
        run_for(loop, Core::Duration(10));
    }
    Process second(loop, shared, "b", {});
    second.learn(2);
    // 3 s after the start, the time for which a version whose naming time is unknown is excused (2.5 s) is over, but the deadline (6.5 s)
    // is not.
    auto const soon = Core::monotonic_now() + Core::Duration(3000);
    EXPECT_EQ(second.facts.versions().at("m").newest_of(soon - Core::Duration(6500), soon - Core::Duration(2500)), 0);
}

TEST(StoredVersions, ASlowClockDoesNotDateAVersionBeforeItWasNamed)
{
    Core::EventLoop loop;
    SharedRecords shared;
    Process running(loop, shared, "a", {});
    running.learn(2);
    auto const before = Core::monotonic_now();
    run_for(loop, Core::Duration(10));
    // Another entry, whose clock is an hour behind, stores the version just as this entry reads it from the log.
    running.learn(3);
    shared.records[{ "m", 3 }] = { .known_at_ms = (Core::wall_now() - Core::Duration(3600000)).count(), .model = "m", .version = 3 };
    Process started(loop, shared, "b", {});
    started.learn(3);
    auto const now = Core::monotonic_now();
    running.facts.on_peer(started.facts.facts_since({}, {}, now), { now, now });
    // This entry read the log without that version until just now.
    EXPECT_GE(running.facts.versions().at("m").find(3)->known, before);
    EXPECT_EQ(running.facts.versions().at("m").newest_of(before - Core::Duration(1000), Core::Time(0)), 0);
}

// Guards against a version that is stored nowhere any more, as the platform's log has come back from a copy that lacks it.
TEST(StoredVersions, AVersionThatTheLogLostIsStoredAgain)
{
    Core::EventLoop loop;
    SharedRecords shared;
    Process process(loop, shared, "a", {});
    process.learn(2);
    run_for(loop, Core::Duration(10));
    ASSERT_EQ(shared.records.size(), 1u);
    shared.records.clear();
    process.stored.on_log_came_back_from_copy();
    run_for(loop, Core::Duration(700));
    EXPECT_EQ(shared.records.size(), 1u);
}
