// SPDX-License-Identifier: BSD-2-Clause
#include "../../Services/Weights/CopyFetcher.h"
#include "../../Services/Weights/PeerChunks.h"
#include "HeldBackOrigin.h"
#include <gtest/gtest.h>

using namespace Weights;

namespace {

class CopyFetcherTest : public testing::Test {
protected:
    CopyFetcherTest()
        : m_fetcher(m_loop, settings(), m_metrics, m_origin, callbacks())
    {
    }

    static CopyFetcherSettings settings()
    {
        CopyFetcherSettings result;
        result.identity = "a";
        return result;
    }

    CopyFetcher::Callbacks callbacks()
    {
        return {
            .announce = [this](Schema::PieceMap const& map) { m_announced[map.version].insert(map.chunks.begin(), map.chunks.end()); },
            .announce_to_other_regions = [this](Schema::PieceMap const& map) { m_announced_to_other_regions[map.version].insert(map.chunks.begin(), map.chunks.end()); },
            .manifest_accepted = [this] { m_fetcher.begin(); },
            .chunk_held = [](size_t) {},
            .is_seeking = [](int64_t) { return true; },
            .is_lacked = [this](int64_t version) { return version == m_lacked; },
            .also_used = [] { return nullptr; },
            .sources = [this] { return CopySources { .targets = { "a" }, .same_region = {}, .caches = m_caches }; },
        };
    }

    void switch_to(int64_t version)
    {
        Schema::WeightsGoal goal {};
        goal.model = "m";
        goal.version = version;
        goal.origin_address = "origin";
        goal.chunks = HeldBackOrigin::chunk_count;
        m_fetcher.set_goal(goal, Core::monotonic_now());
    }

    void fetch_all()
    {
        m_fetcher.advance(Core::monotonic_now());
        m_origin.deliver_all();
        ASSERT_TRUE(m_fetcher.is_complete());
    }

    void fetch_manifest()
    {
        m_fetcher.advance(Core::monotonic_now());
        m_origin.deliver_all();
        ASSERT_TRUE(m_fetcher.has_manifest());
    }

    bool holds(int64_t version, size_t chunk) const { return m_fetcher.store().holds(Core::sha256(HeldBackOrigin::bytes_of(version, chunk))); }

    Core::EventLoop m_loop;
    Core::Metrics m_metrics;
    HeldBackOrigin m_origin;
    std::map<int64_t, std::set<int64_t>> m_announced;
    std::map<int64_t, std::set<int64_t>> m_announced_to_other_regions;
    int64_t m_lacked { 0 };
    std::vector<std::string> m_caches;
    CopyFetcher m_fetcher;
};

}

TEST_F(CopyFetcherTest, ChunksFromTheOriginAreAnnouncedToOtherRegionsAtOnce)
{
    switch_to(1);
    fetch_all();
    m_fetcher.advance(Core::monotonic_now());
    EXPECT_EQ(m_announced_to_other_regions[1], (std::set<int64_t> { 0, 1, 2 }));
}

// If reads are not cancelled, the origin keeps sending chunks that no instance needs.
TEST_F(CopyFetcherTest, ReadsFromTheOriginAreCancelledWhenTheVersionChanges)
{
    switch_to(1);
    m_fetcher.advance(Core::monotonic_now());
    m_origin.deliver_one();
    ASSERT_TRUE(m_fetcher.has_manifest());
    auto const reads = m_origin.waiting();
    EXPECT_GE(reads, 1u);
    EXPECT_TRUE(m_origin.cancelled().empty());
    switch_to(2);
    EXPECT_EQ(m_origin.cancelled().size(), reads);
}

// Each entry that reads the manifest from the origin delays the first chunks: 70 manifests take a fifth of the time of a copy.
TEST_F(CopyFetcherTest, AFewCachesReadTheManifestFromTheOrigin)
{
    for (size_t i = 0; i < 40; ++i)
        m_caches.push_back("c" + std::to_string(i));
    size_t readers = 0;
    for (auto const& identity : m_caches) {
        auto reader_settings = settings();
        reader_settings.identity = identity;
        reader_settings.is_cache = true;
        HeldBackOrigin origin;
        CopyFetcher fetcher(m_loop, reader_settings, m_metrics, origin, callbacks());
        Schema::WeightsGoal goal {};
        goal.model = "m";
        goal.version = 2;
        goal.origin_address = "origin";
        auto const now = Core::monotonic_now();
        fetcher.set_goal(goal, now);
        fetcher.advance(now);
        readers += origin.waiting();
        // The other caches also read from the origin later, in case those few are lost.
        fetcher.advance(now + Core::Duration(2000));
        EXPECT_GE(origin.waiting(), 1u) << identity;
    }
    EXPECT_EQ(readers, settings().transfer.seeders);
}

TEST_F(CopyFetcherTest, TheLastChunksAreAnnouncedBeforeTheNextVersionBegins)
{
    switch_to(1);
    fetch_all();
    switch_to(2);
    EXPECT_EQ(m_announced[1], (std::set<int64_t> { 0, 1, 2 }));
}

TEST_F(CopyFetcherTest, ACompleteOlderVersionIsKeptAndAnnouncedWhileAnInstanceLacksIt)
{
    m_lacked = 1;
    switch_to(1);
    fetch_all();
    switch_to(2);
    fetch_manifest();
    auto const maps = m_fetcher.held();
    ASSERT_EQ(maps.size(), 2u);
    EXPECT_EQ(maps[0].version, 1);
    EXPECT_EQ(maps[0].chunks, (std::vector<int64_t> { 0, 1, 2 }));
    EXPECT_EQ(maps[1].version, 2);
    // No instance lacks version 1 any more.
    m_lacked = 0;
    m_fetcher.advance(Core::monotonic_now());
    EXPECT_EQ(m_fetcher.held().size(), 1u);
    EXPECT_FALSE(holds(1, 1));
    EXPECT_TRUE(holds(1, 0)) << "the newer version has this chunk as well";
}

TEST_F(CopyFetcherTest, AnIncompleteVersionDoesNotReplaceACompleteOlderOne)
{
    m_lacked = 1;
    switch_to(1);
    fetch_all();
    switch_to(2);
    m_fetcher.advance(Core::monotonic_now());
    switch_to(3);
    fetch_manifest();
    EXPECT_TRUE(holds(1, 1));
    EXPECT_TRUE(holds(1, 2));
}

TEST_F(CopyFetcherTest, AVersionCanBeFetchedOnceAPeerHasAnnouncedIt)
{
    switch_to(2);
    EXPECT_FALSE(m_fetcher.can_be_fetched());
    Schema::PieceMap map {};
    map.model = "m";
    map.version = 3;
    m_fetcher.on_peer_pieces("b", map);
    EXPECT_FALSE(m_fetcher.can_be_fetched());
    map.version = 2;
    m_fetcher.on_peer_pieces("b", map);
    EXPECT_TRUE(m_fetcher.can_be_fetched());
}

TEST(PeerChunks, AnAnnouncementOfANewerVersionKeepsThatOfTheOlderOne)
{
    PeerChunks peers;
    auto const map = [](int64_t version, std::vector<int64_t> chunks) {
        Schema::PieceMap result {};
        result.model = "m";
        result.version = version;
        result.chunks = std::move(chunks);
        return result;
    };
    peers.add("b", map(2, { 0, 1 }));
    peers.add("b", map(3, { 0 }));
    peers.add("c", map(2, { 1, 2 }));
    EXPECT_EQ(peers.holders_of("m", 2).at("b"), (std::set<int64_t> { 0, 1 }));
    EXPECT_EQ(peers.distinct_chunks("m", 2), 3u);
    EXPECT_TRUE(peers.holders_of("another", 2).empty());
    peers.forget("b");
    EXPECT_EQ(peers.holders_of("m", 2).size(), 1u);
    EXPECT_TRUE(peers.holders_of("m", 3).empty());
}

TEST(PeerChunks, OnlyAFewVersionsOfAPeerAreRemembered)
{
    PeerChunks peers;
    Schema::PieceMap map {};
    map.model = "m";
    for (map.version = 1; map.version <= 100; ++map.version)
        peers.add("b", map);
    EXPECT_TRUE(peers.holders_of("m", 90).empty());
    EXPECT_EQ(peers.holders_of("m", 100).size(), 1u);
}
