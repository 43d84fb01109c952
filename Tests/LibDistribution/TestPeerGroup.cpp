// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/PeerGroup.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace Distribution;

static std::map<std::string, std::string> const regions { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };

static std::vector<Schema::GoalPeer> peers(size_t by_domain)
{
    std::vector<Schema::GoalPeer> result;
    for (auto const* domain : { "a1", "a2", "b1", "unnamed" }) {
        for (size_t i = 0; i < by_domain; ++i)
            result.push_back({ .failure_domain = domain, .identity = std::string(domain) + "-" + std::to_string(i) });
    }
    return result;
}

TEST(PeerGroup, AFewInstancesAreOneGroup)
{
    auto const all = peers(max_undivided_group_size / 4);
    EXPECT_EQ(peer_group(all, "b1", regions).size(), all.size());
}

TEST(PeerGroup, ManyInstancesAreGroupedByRegion)
{
    auto const all = peers(max_undivided_group_size);
    EXPECT_EQ(peer_group(all, "a1", regions).size(), 2 * max_undivided_group_size);
    EXPECT_EQ(peer_group(all, "b1", regions).size(), max_undivided_group_size);
    EXPECT_EQ(peer_group(all, "unnamed", regions).size(), max_undivided_group_size);
}

// Each instance computes from its group whose turn it is to switch, so all members must compute the same group.
TEST(PeerGroup, AllOfAGroupHaveTheSameGroup)
{
    auto const all = peers(max_undivided_group_size);
    for (auto const& peer : all) {
        auto const group = peer_group(all, peer.failure_domain, regions);
        EXPECT_TRUE(std::any_of(group.begin(), group.end(), [&](auto const& other) { return other.identity == peer.identity; }));
        for (auto const& other : group)
            EXPECT_EQ(peer_group(all, other.failure_domain, regions).size(), group.size());
    }
}
