// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/Hash.h>
#include <LibDistribution/ChunkStore.h>
#include <LibDistribution/Neighbours.h>
#include <LibDistribution/Transfer.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Distribution;

static Schema::VersionSpec version_of(size_t chunks)
{
    Schema::VersionSpec version;
    for (size_t i = 0; i < chunks; ++i) {
        Schema::Chunk chunk;
        chunk.digest = "chunk-" + std::to_string(i);
        chunk.bytes = 1;
        version.chunks.push_back(chunk);
    }
    return version;
}

TEST(ChunkStore, BytesWithAnotherDigestAreDropped)
{
    ChunkStore store;
    IncomingChunk right;
    right.append("ab");
    right.append("c");
    auto const digest = Core::sha256("abc");
    IncomingChunk wrong;
    wrong.append("abd");
    EXPECT_EQ(store.add(digest, wrong), ChunkStore::AddResult::Corrupt);
    EXPECT_FALSE(store.holds(digest));
    EXPECT_EQ(store.add(digest, right), ChunkStore::AddResult::Added);
    EXPECT_EQ(*store.find(digest), "abc");
    IncomingChunk again;
    EXPECT_EQ(store.add(digest, again), ChunkStore::AddResult::AlreadyHeld);
    EXPECT_EQ(store.bytes(), 3u);
    store.keep_only({});
    EXPECT_EQ(store.bytes(), 0u);
}

TEST(Transfer, ChunksHeldFromAnotherVersionAreNotFetchedAgain)
{
    Transfer transfer(version_of(4), "a", { "a" }, { 0, 2 }, {}, 1, Core::Time(0));
    std::set<size_t> fetched;
    for (int64_t now = 0; now < 100; ++now) {
        for (auto const& action : transfer.step(Core::Time(now))) {
            auto const& fetch = std::get<Fetch>(action);
            fetched.insert(fetch.chunk);
            transfer.on_fetched(fetch.id, Core::Time(now));
        }
    }
    EXPECT_EQ(fetched, (std::set<size_t> { 1, 3 }));
    EXPECT_TRUE(transfer.is_complete());
}

TEST(Transfer, AStalledReadGoesElsewhere)
{
    TransferSettings settings;
    settings.stall_timeout = Core::Duration(1000);
    Transfer transfer(version_of(1), "a", { "a", "b", "c" }, {}, settings, 1, Core::Time(0));
    transfer.on_peer_chunks("b", { 0 });
    auto const first = std::get<Fetch>(transfer.step(Core::Time(0)).at(0));
    EXPECT_EQ(first.source.peer, "b");
    transfer.on_peer_chunks("c", { 0 });
    EXPECT_TRUE(transfer.step(Core::Time(999)).empty());
    auto const actions = transfer.step(Core::Time(1000));
    ASSERT_EQ(actions.size(), 2u);
    EXPECT_EQ(std::get<CancelFetch>(actions[0]).id, first.id);
    EXPECT_EQ(std::get<Fetch>(actions[1]).source.peer, "c");
}

TEST(Transfer, APeerThatSendsCorruptChunksIsBackedOffFrom)
{
    Transfer transfer(version_of(64), "a", { "a", "b" }, {}, {}, 1, Core::Time(0));
    std::vector<int64_t> all(64);
    for (int64_t i = 0; i < 64; ++i)
        all[static_cast<size_t>(i)] = i;
    transfer.on_peer_chunks("b", all);
    size_t from_peer = 0;
    for (int64_t now = 0; now < 5000; now += 20) {
        for (auto const& action : transfer.step(Core::Time(now))) {
            auto const* fetch = std::get_if<Fetch>(&action);
            if (!fetch || fetch->source.is_origin())
                continue;
            from_peer += 1;
            transfer.on_failed(fetch->id, FetchFailure::Corrupt, Core::Time(now));
        }
    }
    // Up to the maximum number of reads in flight may have started before the first was found to be corrupt.
    EXPECT_LE(from_peer, 8u);
}

RC_GTEST_PROP(Transfer, ItCompletesWithinItsLimitsWhenSourcesFail, (uint64_t seed))
{
    auto const chunks = *rc::gen::inRange<size_t>(1, 40);
    TransferSettings settings;
    settings.fetches_in_flight = *rc::gen::inRange<size_t>(1, 6);
    std::vector<std::string> const targets { "a", "b", "c", "d" };
    Transfer transfer(version_of(chunks), "a", targets, {}, settings, seed, Core::Time(0));
    std::mt19937_64 random(seed);
    std::map<uint64_t, Fetch> running;
    std::map<size_t, size_t> reads;
    auto const failures_end = Core::Time(20000);
    for (Core::Time now { 0 }; now < Core::Time(120000) && !transfer.is_complete(); now += Core::Duration(20)) {
        bool const has_failures = now < failures_end;
        if (has_failures && random() % 20 == 0)
            transfer.on_peer_chunks(targets[1 + random() % 3], { static_cast<int64_t>(random() % (chunks + 3)) - 1 });
        if (has_failures && random() % 100 == 0)
            transfer.on_peer_lost(targets[1 + random() % 3]);
        for (auto const& action : transfer.step(now)) {
            if (auto const* cancel = std::get_if<CancelFetch>(&action)) {
                running.erase(cancel->id);
                continue;
            }
            auto const& fetch = std::get<Fetch>(action);
            RC_ASSERT(!transfer.holds(fetch.chunk));
            RC_ASSERT(running.emplace(fetch.id, fetch).second);
        }
        RC_ASSERT(running.size() <= settings.fetches_in_flight);
        reads.clear();
        for (auto const& [id, fetch] : running)
            RC_ASSERT(++reads[fetch.chunk] <= 2u);
        // Each read may complete, fail in any way, or receive nothing.
        std::vector<uint64_t> ids;
        ids.reserve(running.size());
        for (auto const& [id, fetch] : running)
            ids.push_back(id);
        for (auto id : ids) {
            auto const chance = random() % 100;
            if (chance < 20 || !has_failures) {
                transfer.on_fetched(id, now);
            } else if (chance < 40) {
                static constexpr FetchFailure failures[] = { FetchFailure::Busy, FetchFailure::Corrupt, FetchFailure::Missing, FetchFailure::Unreachable };
                transfer.on_failed(id, failures[random() % 4], now);
            } else {
                continue;
            }
            running.erase(id);
        }
    }
    RC_ASSERT(transfer.is_complete());
}

namespace {

/// Simulates many instances with one Transfer each, in virtual time. In each time slot, an instance's link passes one chunk in each
/// direction, and the origin's link two.
struct Swarm {
    static constexpr Core::Duration slot { 100 };
    size_t chunks;
    std::vector<std::string> ids;
    std::vector<std::unique_ptr<Transfer>> transfers;
    std::vector<std::vector<std::string>> neighbours;
    std::vector<bool> is_lost;
    size_t origin_reads { 0 };
    Core::Time now { 0 };
    std::vector<std::map<uint64_t, Fetch>> running;

    Swarm(size_t count, size_t chunk_count, size_t neighbour_count)
        : chunks(chunk_count)
        , is_lost(count, false)
        , running(count)
    {
        std::vector<NeighbourCandidate> candidates;
        for (size_t i = 0; i < count; ++i) {
            ids.push_back("i" + std::to_string(i));
            candidates.push_back({ ids.back(), "d" + std::to_string(i % 3), "r" });
        }
        neighbours.resize(count);
        for (size_t i = 0; i < count; ++i) {
            TransferSettings settings;
            settings.origin_wait = slot * 20;
            transfers.push_back(std::make_unique<Transfer>(version_of(chunks), ids[i], ids, std::vector<int64_t>(), settings, i, now));
            for (auto const& id : choose_neighbours(candidates[i], candidates, neighbour_count / 2, 0)) {
                auto const other = static_cast<size_t>(std::find(ids.begin(), ids.end(), id) - ids.begin());
                neighbours[i].push_back(id);
                neighbours[other].push_back(ids[i]);
            }
        }
    }

    size_t index_of(std::string const& id) const { return static_cast<size_t>(std::find(ids.begin(), ids.end(), id) - ids.begin()); }

    void complete_one(size_t i, uint64_t id)
    {
        auto const fetch = running[i].at(id);
        running[i].erase(id);
        origin_reads += fetch.source.is_origin() ? 1 : 0;
        transfers[i]->on_fetched(id, now);
        for (auto const& neighbour : neighbours[i])
            transfers[index_of(neighbour)]->on_peer_chunks(ids[i], { static_cast<int64_t>(fetch.chunk) });
    }

    void begin_reads(size_t i)
    {
        for (auto const& action : transfers[i]->step(now)) {
            if (auto const* cancel = std::get_if<CancelFetch>(&action))
                running[i].erase(cancel->id);
            else
                running[i][std::get<Fetch>(action).id] = std::get<Fetch>(action);
        }
    }

    /// Simulates one time slot: each instance receives one chunk, each peer sends one, and the origin sends two. All other reads are
    /// refused as busy.
    void run_slot()
    {
        now += slot;
        std::map<std::string, size_t> sent;
        for (size_t i = 0; i < ids.size(); ++i) {
            if (is_lost[i])
                continue;
            begin_reads(i);
            bool has_received = false;
            for (auto const& [id, fetch] : std::map(running[i])) {
                bool const has_no_sender = !fetch.source.is_origin() && is_lost[index_of(fetch.source.peer)];
                if (has_no_sender || has_received)
                    continue;
                size_t const slots = fetch.source.is_origin() ? 2 : 1;
                if (sent[fetch.source.peer] < slots) {
                    sent[fetch.source.peer] += 1;
                    complete_one(i, id);
                    has_received = true;
                } else {
                    running[i].erase(id);
                    transfers[i]->on_failed(id, FetchFailure::Busy, now);
                }
            }
        }
    }

    size_t slots_until_complete()
    {
        for (size_t slots = 1; slots < 5000; ++slots) {
            run_slot();
            bool is_done = true;
            for (size_t i = 0; i < ids.size(); ++i)
                is_done = is_done && (is_lost[i] || transfers[i]->is_complete());
            if (is_done)
                return slots;
        }
        return 5000;
    }
};

}

TEST(Swarm, ATransferWithoutFailuresReadsOneCopyFromTheOrigin)
{
    Swarm swarm(24, 48, 16);
    auto const slots = swarm.slots_until_complete();
    EXPECT_EQ(swarm.origin_reads, 48u);
    EXPECT_LT(slots, 2 * swarm.chunks);
}

TEST(Swarm, TheRemainingInstancesCompleteAfterLosses)
{
    Swarm swarm(20, 40, 16);
    for (int i = 0; i < 15; ++i)
        swarm.run_slot();
    swarm.is_lost[3] = swarm.is_lost[11] = true;
    for (auto const lost : { 3, 11 }) {
        for (auto const& transfer : swarm.transfers)
            transfer->on_peer_lost("i" + std::to_string(lost));
    }
    EXPECT_LT(swarm.slots_until_complete(), 4 * swarm.chunks);
    EXPECT_LE(swarm.origin_reads, 60u);
}

static std::vector<Fetch> fetches_of(std::vector<TransferAction> const& actions)
{
    std::vector<Fetch> fetches;
    for (auto const& action : actions) {
        if (auto const* fetch = std::get_if<Fetch>(&action))
            fetches.push_back(*fetch);
    }
    return fetches;
}

TEST(Transfer, WithCachesNobodyElseReadsFromTheOriginAtOnce)
{
    size_t const chunks = 16;
    std::vector<std::string> const engines { "e1", "e2", "e3", "e4" };
    std::vector<std::string> const caches { "c1", "c2" };
    TransferSettings settings;
    settings.fetches_in_flight = chunks;
    settings.origin_fetches_in_flight = chunks;
    std::multiset<size_t> read;
    for (auto const& self : { "e1", "e2", "e3", "e4", "c1", "c2" }) {
        Transfer transfer(version_of(chunks), self, engines, {}, settings, 1, Core::Time(0));
        transfer.set_caches(caches);
        auto const fetches = fetches_of(transfer.step(Core::Time(0)));
        bool const is_cache = std::string(self).front() == 'c';
        EXPECT_EQ(fetches.empty(), !is_cache) << self;
        for (auto const& fetch : fetches)
            read.insert(fetch.chunk);
    }
    // The caches together read each chunk once.
    EXPECT_EQ(read.size(), chunks);
    EXPECT_EQ(std::set<size_t>(read.begin(), read.end()).size(), chunks);
}

// The origin's link is fully used until the last chunk only if no reader has more chunks left to read than the others.
TEST(Transfer, ReadersOfTheOriginHaveAsManyChunksEach)
{
    size_t const chunks = 64;
    TransferSettings settings;
    settings.fetches_in_flight = chunks;
    settings.origin_fetches_in_flight = chunks;
    std::vector<std::string> caches;
    for (size_t i = 0; i < 20; ++i)
        caches.push_back("c" + std::to_string(i));
    size_t readers = 0;
    std::set<size_t> read;
    for (auto const& self : caches) {
        Transfer transfer(version_of(chunks), self, {}, {}, settings, 1, Core::Time(0));
        transfer.set_caches(caches);
        auto const fetches = fetches_of(transfer.step(Core::Time(0)));
        readers += fetches.empty() ? 0 : 1;
        EXPECT_TRUE(fetches.empty() || fetches.size() == chunks / settings.seeders) << self;
        for (auto const& fetch : fetches)
            EXPECT_TRUE(read.insert(fetch.chunk).second);
    }
    EXPECT_EQ(readers, settings.seeders);
    EXPECT_EQ(read.size(), chunks);
}

TEST(Transfer, EnginesReadFromTheOriginAfterAWaitIfTheCachesAreLost)
{
    TransferSettings settings;
    settings.fetches_in_flight = 4;
    settings.origin_wait = Core::Duration(400);
    Transfer transfer(version_of(4), "e1", { "e1", "e2" }, {}, settings, 1, Core::Time(0));
    transfer.set_caches({ "c1", "c2" });
    EXPECT_TRUE(fetches_of(transfer.step(Core::Time(0))).empty());
    EXPECT_FALSE(fetches_of(transfer.step(Core::Time(2000))).empty());
}

// The seeder of a chunk and any number of the readers ranked after it may be lost. The time until another instance reads the chunk
// must grow only with the logarithm of the fleet's size.
TEST(Transfer, TheOriginIsReadSoonHoweverManyReadersAreLost)
{
    TransferSettings settings;
    settings.origin_wait = Core::Duration(400);
    for (size_t const instances : { 15, 400 }) {
        std::vector<std::string> caches;
        for (size_t i = 0; i < instances; ++i)
            caches.push_back("c" + std::to_string(i));
        for (size_t const lost : { size_t { 0 }, size_t { 1 }, size_t { 4 }, instances / 2, instances - 1 }) {
            auto const ranked = Core::rendezvous_order(version_of(1).digest, caches);
            Core::Time first_read_at { 1'000'000 };
            size_t readers_at_once = 0;
            for (size_t i = lost; i < instances; ++i) {
                Transfer transfer(version_of(1), ranked[i], {}, {}, settings, 1, Core::Time(0));
                transfer.set_caches(caches);
                for (Core::Time now { 0 }; now <= first_read_at; now += Core::Duration(50)) {
                    if (fetches_of(transfer.step(now)).empty())
                        continue;
                    readers_at_once = now < first_read_at ? 1 : readers_at_once + 1;
                    first_read_at = now;
                    break;
                }
            }
            // The rank doubles nine times up to 400, and once more for instances that are not seeders.
            EXPECT_LE(first_read_at, Core::Time(10 * 400)) << instances << " instances, " << lost << " lost";
            EXPECT_GE(readers_at_once, 1u);
        }
    }
}

// The same in a simulated fleet: readers are lost one after another, at any time of the transfer, and few chunks are read twice.
TEST(Swarm, ReadersThatAreLostOneAfterAnotherAreReplaced)
{
    for (size_t const loss_begins : { 1, 10, 25, 38 }) {
        Swarm swarm(40, 40, 80);
        for (auto const& transfer : swarm.transfers)
            transfer->set_caches(swarm.ids);
        for (size_t i = 0; i < loss_begins; ++i)
            swarm.run_slot();
        auto const ranked = Core::rendezvous_order(version_of(40).digest, swarm.ids);
        for (size_t lost = 0; lost < 8; ++lost) {
            swarm.is_lost[swarm.index_of(ranked[lost])] = true;
            for (auto const& transfer : swarm.transfers)
                transfer->on_peer_lost(ranked[lost]);
            swarm.run_slot();
        }
        EXPECT_LT(swarm.slots_until_complete(), 4 * swarm.chunks) << loss_begins;
        // The origin may send 1.2 copies, and the chunks that were lost with the eight readers.
        EXPECT_LE(swarm.origin_reads, swarm.chunks * 12 / 10 + 8) << loss_begins;
    }
}

// After an outage of the origin all instances have waited for long. When it is reachable again, the first in rank must read from it first,
// or all would read at once.
TEST(Transfer, AReturningOriginIsNotReadByAllAtOnce)
{
    TransferSettings settings;
    settings.origin_wait = Core::Duration(400);
    settings.max_peer_backoff = Core::Duration(1000);
    std::vector<std::string> caches;
    for (size_t i = 0; i < 70; ++i)
        caches.push_back("c" + std::to_string(i));
    std::set<std::string> late_readers;
    for (auto const& self : caches) {
        Transfer transfer(version_of(64), self, {}, {}, settings, 1, Core::Time(0));
        transfer.set_caches(caches);
        for (Core::Time now { 0 }; now < Core::Time(6000); now += Core::Duration(50)) {
            for (auto const& fetch : fetches_of(transfer.step(now))) {
                transfer.on_failed(fetch.id, FetchFailure::Unreachable, now);
                if (now >= Core::Time(5000))
                    late_readers.insert(self);
            }
        }
    }
    // All seeders retry, and some of the other instances.
    EXPECT_GE(late_readers.size(), settings.seeders);
    EXPECT_LE(late_readers.size(), 35u);
}

// The origin is unreachable for six seconds while the seeders are present. Backup readers must seldom retry, or they would read the same
// chunks as the seeders when the origin is reachable again.
TEST(Transfer, BackupReadersSeldomRetryAFailingOrigin)
{
    TransferSettings settings;
    settings.origin_wait = Core::Duration(400);
    std::vector<std::string> const caches { "c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8", "c9", "c10", "c11", "c12" };
    // A seeder retries every 250 ms, during the last four seconds.
    constexpr size_t attempts_of_a_reader = 16;
    size_t readers = 0;
    for (auto const& self : caches) {
        Transfer transfer(version_of(64), self, {}, {}, settings, 1, Core::Time(0));
        transfer.set_caches(caches);
        size_t attempts = 0;
        for (Core::Time now { 0 }; now < Core::Time(6000); now += Core::Duration(50)) {
            for (auto const& fetch : fetches_of(transfer.step(now))) {
                transfer.on_failed(fetch.id, FetchFailure::Unreachable, now);
                attempts += now >= Core::Time(2000) ? 1 : 0;
            }
        }
        bool const is_reader = attempts >= attempts_of_a_reader;
        readers += is_reader ? 1 : 0;
        EXPECT_TRUE(is_reader || attempts <= 1) << self << " tried to read from the origin " << attempts << " times";
    }
    EXPECT_EQ(readers, settings.seeders);
}

TEST(Transfer, ACacheIsPreferredToOtherPeers)
{
    TransferSettings settings;
    settings.fetches_in_flight = 8;
    Transfer transfer(version_of(8), "e1", { "e1", "e2", "e3" }, {}, settings, 1, Core::Time(0));
    transfer.set_caches({ "c1" });
    std::vector<int64_t> const all { 0, 1, 2, 3, 4, 5, 6, 7 };
    for (auto const* peer : { "e2", "c1", "e3" })
        transfer.on_peer_chunks(peer, all);
    auto const fetches = fetches_of(transfer.step(Core::Time(0)));
    ASSERT_EQ(fetches.size(), 8u);
    for (auto const& fetch : fetches)
        EXPECT_EQ(fetch.source.peer, "c1");
}

TEST(Transfer, OneCacheOfARegionReadsAChunkFromAnotherRegion)
{
    size_t readers = 0;
    for (auto const& self : { "c1", "c2", "e1", "e2" }) {
        Transfer transfer(version_of(1), self, { "e1", "e2" }, {}, {}, 1, Core::Time(0));
        transfer.set_caches({ "c1", "c2", "far" });
        transfer.set_region_instances({ "c1", "c2", "e1", "e2" });
        transfer.on_peer_chunks("far", { 0 });
        bool const has_read = !fetches_of(transfer.step(Core::Time(0))).empty();
        readers += has_read ? 1 : 0;
        EXPECT_TRUE(!has_read || self[0] == 'c') << self;
    }
    EXPECT_EQ(readers, 1u);
}

TEST(Transfer, ChunksAreReadOneAtATimeOverASlowLink)
{
    TransferSettings settings;
    settings.fetches_in_flight = 3;
    settings.slow_link = Core::Duration(150);
    Transfer transfer(version_of(16), "e1", { "e1", "e2" }, {}, settings, 1, Core::Time(0));
    transfer.on_peer_chunks("e2", { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9 });
    auto const first = fetches_of(transfer.step(Core::Time(0)));
    ASSERT_EQ(first.size(), 3u);
    for (auto const& fetch : first)
        transfer.on_progress(fetch.id, Core::Time(20));
    for (auto const& fetch : first)
        transfer.on_fetched(fetch.id, Core::Time(900));
    EXPECT_EQ(fetches_of(transfer.step(Core::Time(900))).size(), 1u);
}

TEST(Transfer, WaitingForABusySourceDoesNotCountAsASlowLink)
{
    TransferSettings settings;
    settings.fetches_in_flight = 3;
    settings.slow_link = Core::Duration(150);
    Transfer transfer(version_of(16), "e1", { "e1", "e2" }, {}, settings, 1, Core::Time(0));
    transfer.on_peer_chunks("e2", { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9 });
    auto const first = fetches_of(transfer.step(Core::Time(0)));
    for (auto const& fetch : first) {
        transfer.on_progress(fetch.id, Core::Time(860));
        transfer.on_fetched(fetch.id, Core::Time(900));
    }
    EXPECT_EQ(fetches_of(transfer.step(Core::Time(900))).size(), 3u);
}

TEST(Transfer, ConcurrentReadsOverAFastLinkDoNotCountAsASlowLink)
{
    TransferSettings settings;
    settings.fetches_in_flight = 6;
    settings.slow_link = Core::Duration(150);
    Transfer transfer(version_of(16), "e1", { "e1", "e2" }, {}, settings, 1, Core::Time(0));
    transfer.on_peer_chunks("e2", { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 });
    auto const first = fetches_of(transfer.step(Core::Time(0)));
    ASSERT_EQ(first.size(), 6u);
    for (auto const& fetch : first)
        transfer.on_progress(fetch.id, Core::Time(10));
    // Six chunks of 35 ms each are read concurrently.
    transfer.on_fetched(first[0].id, Core::Time(220));
    EXPECT_FALSE(fetches_of(transfer.step(Core::Time(220))).empty());
}

TEST(Transfer, CachesThatHoldNothingDoNotLimitTheReadsFromPeers)
{
    TransferSettings settings;
    settings.fetches_in_flight = 6;
    settings.fetches_with_caches = 2;
    Transfer transfer(version_of(16), "e1", { "e1", "e2" }, {}, settings, 1, Core::Time(0));
    transfer.set_caches({ "c1", "c2" });
    transfer.on_peer_chunks("e2", { 0, 1, 2, 3, 4, 5, 6, 7 });
    EXPECT_EQ(fetches_of(transfer.step(Core::Time(0))).size(), 6u);
    transfer.on_peer_chunks("c1", { 0, 1, 2, 3, 4, 5, 6, 7 });
    EXPECT_TRUE(fetches_of(transfer.step(Core::Time(10))).empty());
}

TEST(Transfer, AReadIsNotDuplicatedOnlyBecauseOthersWereFast)
{
    TransferSettings settings;
    settings.stall_timeout = Core::Duration(2000);
    Transfer transfer(version_of(4), "e1", { "e1", "e2", "e3" }, {}, settings, 1, Core::Time(0));
    for (auto const* peer : { "e2", "e3" })
        transfer.on_peer_chunks(peer, { 0, 1, 2, 3 });
    auto const first = fetches_of(transfer.step(Core::Time(0)));
    ASSERT_EQ(first.size(), 4u);
    for (size_t i = 0; i < 3; ++i)
        transfer.on_fetched(first[i].id, Core::Time(2));
    // A busy machine delays a read by tens of milliseconds.
    EXPECT_TRUE(fetches_of(transfer.step(Core::Time(200))).empty());
    auto const duplicates = fetches_of(transfer.step(Core::Time(500)));
    ASSERT_EQ(duplicates.size(), 1u);
    EXPECT_EQ(duplicates[0].chunk, first[3].chunk);
    EXPECT_NE(duplicates[0].source.peer, first[3].source.peer);
}

TEST(Transfer, OnlyASmallPartOfAVersionIsReadTwice)
{
    size_t const chunks = 64;
    TransferSettings settings;
    settings.fetches_in_flight = 2 * chunks;
    settings.stall_timeout = Core::Duration(2000);
    Transfer transfer(version_of(chunks + 1), "e1", { "e1", "e2", "e3" }, {}, settings, 1, Core::Time(0));
    std::vector<int64_t> all;
    for (size_t i = 0; i <= chunks; ++i)
        all.push_back(static_cast<int64_t>(i));
    for (auto const* peer : { "e2", "e3" })
        transfer.on_peer_chunks(peer, all);
    auto const first = fetches_of(transfer.step(Core::Time(0)));
    ASSERT_EQ(first.size(), chunks + 1);
    transfer.on_fetched(first[0].id, Core::Time(2));
    size_t duplicates = 0;
    for (int64_t now = 100; now < 1900; now += 100) {
        for (auto const& fetch : first)
            transfer.on_progress(fetch.id, Core::Time(now));
        duplicates += fetches_of(transfer.step(Core::Time(now))).size();
    }
    EXPECT_GE(duplicates, 1u);
    EXPECT_LE(duplicates, 1 + chunks / 16);
}
