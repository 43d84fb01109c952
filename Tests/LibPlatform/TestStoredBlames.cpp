// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/StoredBlames.h>
#include <LibPlatform/WriterTurns.h>
#include <gtest/gtest.h>
#include <map>

using namespace Platform;

namespace {

/// Records that outlive the processes of a test.
struct SharedBlames {
    std::map<std::string, Schema::KeptBlame> records;
    bool is_away { false };
    int reads { 0 };
    int writes { 0 };
};

class BlamesOfOne final : public BlameRecords {
public:
    explicit BlamesOfOne(SharedBlames& shared)
        : m_shared(shared)
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
        for (auto const& [digest, record] : m_shared.records)
            page.blames.push_back(record);
        callback(page);
    }

    void write(Schema::KeptBlame const& blame, std::function<void(bool)> callback) override
    {
        m_shared.writes += 1;
        if (!m_shared.is_away)
            m_shared.records[blame.digest] = blame;
        callback(!m_shared.is_away);
    }

    void remove_blames(std::vector<std::string> const& digests, std::function<void(bool)> callback) override
    {
        for (auto const& digest : digests)
            m_shared.records.erase(digest);
        callback(true);
    }

private:
    SharedBlames& m_shared;
};

/// The part of an entry that handles blames.
struct Process {
    Process(Core::EventLoop& loop, SharedBlames& shared, std::string const& identity, std::vector<std::string> const& linked)
        : stored(loop, std::make_unique<BlamesOfOne>(shared), identity, metrics,
            { .read = [this](auto const& suspect) { known.push_back(suspect); }, .entries = [linked] { return linked; } })
    {
        stored.read();
    }

    Core::Metrics metrics;
    std::vector<Schema::CrashSuspect> known;
    StoredBlames stored;
};

Schema::CrashSuspect blamed(std::string const& digest, int64_t ms_ago = 0)
{
    Schema::CrashSuspect suspect {};
    suspect.digest = digest;
    suspect.times_blamed = 1;
    suspect.blamed_ms_ago = ms_ago;
    suspect.ends = { { .alone = true, .server = "s1@1" } };
    return suspect;
}

void run_for(Core::EventLoop& loop, Core::Duration duration)
{
    auto const end = loop.after(duration, [&] { loop.stop(); });
    loop.run();
}

}

TEST(StoredBlames, AStartingProcessReadsStoredBlames)
{
    Core::EventLoop loop;
    SharedBlames shared;
    Process(loop, shared, "a", {}).stored.store_blame(blamed("d", 5000));
    Process second(loop, shared, "b", {});
    ASSERT_EQ(second.known.size(), 1u);
    EXPECT_EQ(second.known[0].digest, "d");
    EXPECT_GE(second.known[0].blamed_ms_ago.value(), 5000);
    EXPECT_EQ(second.known[0].ends.at(0).server, "s1@1");
}

TEST(StoredBlames, TwoLinkedEntriesStoreABlame)
{
    Core::EventLoop loop;
    SharedBlames shared;
    std::vector<std::string> const all { "a", "b", "c", "d", "e", "f", "g" };
    std::vector<std::unique_ptr<Process>> processes;
    for (auto const& identity : all) {
        auto others = all;
        std::erase(others, identity);
        processes.push_back(std::make_unique<Process>(loop, shared, identity, others));
    }
    for (auto const& process : processes)
        process->stored.store_blame(blamed("d"));
    run_for(loop, Core::Duration(50));
    EXPECT_EQ(shared.writes, 2);
}

TEST(StoredBlames, AWriteThatFailedIsTriedAgain)
{
    Core::EventLoop loop;
    SharedBlames shared;
    Process process(loop, shared, "a", {});
    shared.is_away = true;
    process.stored.store_blame(blamed("d"));
    EXPECT_TRUE(shared.records.empty());
    shared.is_away = false;
    run_for(loop, Core::Duration(700));
    EXPECT_EQ(shared.records.size(), 1u);
}

TEST(StoredBlames, AFailedReadIsRetriedAndFurtherReadsAreLimited)
{
    Core::EventLoop loop;
    SharedBlames shared;
    shared.is_away = true;
    Process process(loop, shared, "a", {});
    EXPECT_EQ(shared.reads, 1);
    shared.is_away = false;
    run_for(loop, Core::Duration(400));
    EXPECT_EQ(shared.reads, 2);
    process.stored.read_unless_recent();
    process.stored.read_unless_recent();
    EXPECT_EQ(shared.reads, 2) << "the last read was less than 2 s ago";
}

TEST(StoredBlames, ExpiredAndSurplusBlamesAreRemoved)
{
    Core::EventLoop loop;
    SharedBlames shared;
    auto const now = Core::wall_now();
    for (int i = 0; i < 300; ++i) {
        auto const digest = "d" + std::to_string(i);
        shared.records[digest] = { .blamed_at_ms = (now - Core::Duration(i)).count(), .digest = digest, .servers = {}, .times_blamed = 1 };
    }
    shared.records["old"] = { .blamed_at_ms = (now - std::chrono::hours(25)).count(), .digest = "old", .servers = {}, .times_blamed = 1 };
    Process process(loop, shared, "a", {});
    EXPECT_EQ(process.known.size(), 256u);
    EXPECT_EQ(shared.records.size(), 256u);
    EXPECT_FALSE(shared.records.contains("old"));
}

TEST(StoredBlames, ARemovedBlameIsRemovedFromTheStore)
{
    Core::EventLoop loop;
    SharedBlames shared;
    Process process(loop, shared, "a", {});
    process.stored.store_blame(blamed("d"));
    process.stored.remove_blame("d");
    EXPECT_TRUE(shared.records.empty());
    process.stored.store_blame(blamed("d"));
    EXPECT_EQ(shared.records.size(), 1u) << "a request whose blame was removed may be blamed again";
}

// Guards against a blame that is stored nowhere any more, as the platform's log has come back from a copy that lacks it.
TEST(StoredBlames, ABlameThatTheLogLostIsStoredAgain)
{
    Core::EventLoop loop;
    SharedBlames shared;
    Process process(loop, shared, "a", {});
    process.stored.store_blame(blamed("d"));
    shared.records.clear();
    process.stored.on_log_came_back_from_copy();
    process.stored.store_blame(blamed("d"));
    EXPECT_EQ(shared.records.size(), 1u);
}
