// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/EngineOwners.h>
#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Routing;

static std::vector<SharingEntry> any_entries()
{
    std::vector<SharingEntry> entries;
    auto const count = *rc::gen::inRange(1, 8);
    entries.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i)
        entries.push_back({ "entry-" + std::to_string(i), "domain-" + std::to_string(*rc::gen::inRange(0, 3)), static_cast<double>(*rc::gen::inRange(0, 100)) });
    return entries;
}

static std::vector<SharedEngine> any_engines()
{
    std::vector<SharedEngine> engines;
    auto const count = *rc::gen::inRange(0, 40);
    engines.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i)
        engines.push_back({ "engine-" + std::to_string(i), "domain-" + std::to_string(*rc::gen::inRange(0, 3)) });
    return engines;
}

RC_GTEST_PROP(EngineOwners, EveryEngineHasOneOwnerAndEachEntryOwnsAboutItsShare, ())
{
    auto const entries = any_entries();
    auto const engines = any_engines();
    auto const owners = engine_owners(entries, engines);
    RC_ASSERT(owners.size() == engines.size());
    double total = 0;
    for (auto const& entry : entries)
        total += std::max(1.0, entry.demand);
    for (auto const& entry : entries) {
        auto const owned = std::count_if(owners.begin(), owners.end(), [&](auto const& pair) { return pair.second == entry.identity; });
        auto const part = std::max(1.0, entry.demand) / total * static_cast<double>(engines.size());
        RC_ASSERT(std::abs(static_cast<double>(owned) - part) < 1.5);
    }
}

RC_GTEST_PROP(EngineOwners, OrderOfEntriesAndEnginesDoesNotMatter, ())
{
    auto entries = any_entries();
    auto engines = any_engines();
    auto const owners = engine_owners(entries, engines);
    std::reverse(entries.begin(), entries.end());
    std::reverse(engines.begin(), engines.end());
    RC_ASSERT(engine_owners(entries, engines) == owners);
}

TEST(EngineOwners, EnginesOfTheSameDomainArePreferred)
{
    auto const owners = engine_owners({ { "e1", "a", 10 }, { "e2", "b", 10 } }, { { "x", "b" }, { "y", "a" }, { "z", "b" }, { "w", "a" } });
    EXPECT_EQ(owners.at("x"), "e2");
    EXPECT_EQ(owners.at("z"), "e2");
    EXPECT_EQ(owners.at("y"), "e1");
    EXPECT_EQ(owners.at("w"), "e1");
}

TEST(EngineOwners, AnEntryWithoutEnginesInItsDomainOwnsOthers)
{
    auto const owners = engine_owners({ { "e1", "a", 10 }, { "e2", "c", 10 } }, { { "x", "a" }, { "y", "a" } });
    EXPECT_NE(owners.at("x"), owners.at("y"));
}

RC_GTEST_PROP(EngineOwners, EachEngineHasAnOwnerAndFewHelpersThatAllAgreeOn, ())
{
    auto const entries = any_entries();
    auto const engines = any_engines();
    auto const owners = engine_owners(entries, engines);
    std::map<std::string, size_t> helpers;
    for (auto const& entry : entries) {
        for (auto const& [engine, role] : engine_roles(entry.identity, entries, engines)) {
            RC_ASSERT((role == EngineRole::Owner) == (owners.at(engine) == entry.identity));
            helpers[engine] += role == EngineRole::Helper ? 1 : 0;
        }
    }
    for (auto const& engine : engines)
        RC_ASSERT(helpers[engine.id] == std::min<size_t>(2, entries.size() - 1));
}

TEST(EngineOwners, EntriesOfTheSameDomainArePreferredAsHelpers)
{
    std::vector<SharingEntry> const entries { { "e1", "a", 10 }, { "e2", "a", 10 }, { "e3", "a", 10 }, { "e4", "b", 10 } };
    EXPECT_FALSE(engine_roles("e4", entries, { { "x", "a" } }).contains("x"));
}
