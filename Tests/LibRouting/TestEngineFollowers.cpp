// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/FollowedEngines.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Routing;

namespace {

/// A fleet of equally large regions, each with one failure domain.
struct Fleet {
    Fleet(size_t region_count, size_t entries_by_region, size_t engines_by_region)
    {
        for (size_t region = 0; region < region_count; ++region) {
            auto const domain = "domain-" + std::to_string(region);
            regions[domain] = "region-" + std::to_string(region);
            for (size_t i = 0; i < entries_by_region; ++i)
                entries.push_back({ "10." + std::to_string(region) + ".0." + std::to_string(i), domain, 1 });
            for (size_t i = 0; i < engines_by_region; ++i)
                engines.push_back({ "10." + std::to_string(region) + ".1." + std::to_string(i), domain });
        }
    }

    std::vector<SharingEntry> followers(SharedEngine const& engine) const
    {
        std::vector<SharingEntry> result;
        std::copy_if(entries.begin(), entries.end(), std::back_inserter(result), [&](auto const& entry) { return follows_engine(entry, entries, engine, regions); });
        return result;
    }

    size_t followed_by(SharingEntry const& entry) const
    {
        return static_cast<size_t>(std::count_if(engines.begin(), engines.end(), [&](auto const& engine) { return follows_engine(entry, entries, engine, regions); }));
    }

    RegionByDomain regions;
    std::vector<SharingEntry> entries;
    std::vector<SharedEngine> engines;
};

}

TEST(EngineFollowers, AFewEntriesFollowEveryEngine)
{
    Fleet const fleet(3, followers_per_engine / 3, 10);
    for (auto const& entry : fleet.entries)
        EXPECT_EQ(fleet.followed_by(entry), fleet.engines.size());
}

// In a full mesh the number of links grows with entries times engines, and so do the messages of all agents. With some 70 entries and
// 200 engines, links took half of the processor time of all instances.
TEST(EngineFollowers, NumberOfLinksPerAgentIsIndependentOfNumberOfEntries)
{
    for (size_t const entries_by_region : { 6, 15, 70 }) {
        Fleet const fleet(5, entries_by_region, 40);
        for (auto const& engine : fleet.engines)
            EXPECT_EQ(fleet.followers(engine).size(), followers_per_engine);
    }
}

TEST(EngineFollowers, NumberOfLinksPerEntryGrowsWithEnginesPerEntryOnly)
{
    for (size_t const scale : { 1, 4 }) {
        Fleet const fleet(5, 10 * scale, 40 * scale);
        size_t most = 0;
        for (auto const& entry : fleet.entries)
            most = std::max(most, fleet.followed_by(entry));
        // Four engines per entry, sixteen followers per engine.
        EXPECT_LE(most, 2 * 4 * followers_per_engine);
    }
}

TEST(EngineFollowers, NearEntriesArePreferredAndSomeFollowersAreInOtherRegions)
{
    Fleet const fleet(5, 10, 40);
    for (auto const& engine : fleet.engines) {
        auto const followers = fleet.followers(engine);
        auto const near = std::count_if(followers.begin(), followers.end(), [&](auto const& entry) { return entry.failure_domain == engine.failure_domain; });
        EXPECT_EQ(near, 10);
        EXPECT_EQ(followers.size() - static_cast<size_t>(near), followers_per_engine - 10);
    }
}

// If all entries of a region are lost, entries of other regions follow its engines, and no engine is left without followers.
TEST(EngineFollowers, EnginesOfARegionWithoutEntriesAreFollowedFromOtherRegions)
{
    Fleet fleet(5, 10, 40);
    std::erase_if(fleet.entries, [](auto const& entry) { return entry.failure_domain == "domain-0"; });
    for (auto const& engine : fleet.engines)
        EXPECT_EQ(fleet.followers(engine).size(), followers_per_engine);
}

RC_GTEST_PROP(EngineFollowers, LossOfAnEntryChangesOnlyItsOwnLinks, ())
{
    Fleet fleet(*rc::gen::inRange<size_t>(1, 5), *rc::gen::inRange<size_t>(1, 12), 5);
    std::map<std::string, std::vector<std::string>> before;
    for (auto const& engine : fleet.engines) {
        for (auto const& entry : fleet.followers(engine))
            before[engine.id].push_back(entry.identity);
    }
    auto const lost = fleet.entries[*rc::gen::inRange<size_t>(0, fleet.entries.size())];
    std::erase_if(fleet.entries, [&](auto const& entry) { return entry.identity == lost.identity; });
    for (auto const& engine : fleet.engines) {
        auto const followers = fleet.followers(engine);
        for (auto const& identity : before[engine.id]) {
            bool const still_follows = std::any_of(followers.begin(), followers.end(), [&](auto const& entry) { return entry.identity == identity; });
            RC_ASSERT(still_follows || identity == lost.identity);
        }
    }
}

TEST(FollowedEngines, AnEntryThatHasJustStartedFollowsAFewOfTheNearestEngines)
{
    Fleet const fleet(5, 15, 40);
    auto const& self = fleet.entries.front();
    FollowedEngines followed(self, fleet.regions);
    // The entry knows no others yet, so it would be the only follower of every engine.
    followed.update(fleet.engines, { self }, {}, Core::Time(1000));
    EXPECT_EQ(followed.ips().size(), 64u);
    for (auto const& engine : fleet.engines)
        EXPECT_TRUE(engine.failure_domain != self.failure_domain || followed.contains(engine.id));
    followed.update(fleet.engines, fleet.entries, {}, Core::Time(3000));
    for (auto const& engine : fleet.engines)
        EXPECT_EQ(followed.contains(engine.id), follows_engine(self, fleet.entries, engine, fleet.regions));
}

TEST(FollowedEngines, AnEntryWithoutPeersFollowsAllEngines)
{
    Fleet const fleet(5, 1, 40);
    auto const& self = fleet.entries.front();
    FollowedEngines followed(self, fleet.regions);
    followed.update(fleet.engines, { self }, {}, Core::Time(1000));
    followed.update(fleet.engines, { self }, {}, Core::Time(2500));
    EXPECT_EQ(followed.ips().size(), fleet.engines.size());
}

TEST(FollowedEngines, ADistantEngineThatIsUsedStaysFollowedForFiveSeconds)
{
    Fleet const fleet(5, 30, 40);
    auto const& self = fleet.entries.front();
    auto const far = *std::find_if(fleet.engines.begin(), fleet.engines.end(), [&](auto const& engine) { return !follows_engine(self, fleet.entries, engine, fleet.regions); });
    FollowedEngines followed(self, fleet.regions);
    followed.update(fleet.engines, fleet.entries, {}, Core::Time(0));
    followed.update(fleet.engines, fleet.entries, { far.id }, Core::Time(10000));
    EXPECT_TRUE(followed.contains(far.id));
    followed.update(fleet.engines, fleet.entries, {}, Core::Time(14000));
    EXPECT_TRUE(followed.contains(far.id));
    followed.update(fleet.engines, fleet.entries, {}, Core::Time(15000));
    EXPECT_FALSE(followed.contains(far.id));
}

TEST(FollowedEngines, AnEngineThatIsNoLongerListedIsNotFollowed)
{
    Fleet const fleet(1, 1, 3);
    FollowedEngines followed(fleet.entries.front(), fleet.regions);
    EXPECT_TRUE(followed.update(fleet.engines, {}, { fleet.engines[0].id }, Core::Time(0)));
    EXPECT_FALSE(followed.update(fleet.engines, {}, {}, Core::Time(1)));
    EXPECT_TRUE(followed.update({ fleet.engines[1] }, {}, {}, Core::Time(2)));
    EXPECT_EQ(followed.ips(), std::set { fleet.engines[1].id });
}
