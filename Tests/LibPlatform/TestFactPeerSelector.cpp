// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/FactPeerSelector.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace Platform;
using Configuration::FactTopic;

namespace {

std::vector<Peer> const peers_of_two_regions { { "f1", Distance::OtherRegion }, { "n1", Distance::SameRegion }, { "f2", Distance::OtherRegion }, { "n2", Distance::SameRegion }, { "f3", Distance::OtherRegion } };

long count(std::vector<std::string> const& identities, char first_letter)
{
    return std::count_if(identities.begin(), identities.end(), [&](auto const& identity) { return identity.front() == first_letter; });
}

}

TEST(FactPeerSelector, TheServerListIsRequestedInTheSameRegionAfterFewFailures)
{
    FactPeerSelector selector;
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(selector.on_read_failed(FactTopic::BackendServers, peers_of_two_regions), (std::vector<std::string> { "n1", "n2" }));
    EXPECT_TRUE(selector.should_request_from_linked(Distance::SameRegion));
    EXPECT_FALSE(selector.should_request_from_linked(Distance::OtherRegion));
}

TEST(FactPeerSelector, TheServerListIsRequestedInOtherRegionsAfterThreeFailures)
{
    FactPeerSelector selector;
    for (int i = 0; i < 2; ++i)
        selector.on_read_failed(FactTopic::BackendServers, peers_of_two_regions);
    EXPECT_EQ(count(selector.on_read_failed(FactTopic::BackendServers, peers_of_two_regions), 'f'), 1);
    EXPECT_TRUE(selector.should_request_from_linked(Distance::OtherRegion));
    selector.on_read_recovered(FactTopic::BackendServers);
    EXPECT_FALSE(selector.should_request_from_linked(Distance::SameRegion));
    EXPECT_EQ(count(selector.on_read_failed(FactTopic::BackendServers, peers_of_two_regions), 'f'), 0);
}

TEST(FactPeerSelector, TheConfigurationIsRequestedInAnotherRegionAtTheFirstFailure)
{
    FactPeerSelector selector;
    std::vector<std::string> other_region;
    for (int i = 0; i < 3; ++i) {
        auto const selected = selector.on_read_failed(FactTopic::Configuration, peers_of_two_regions);
        EXPECT_EQ(count(selected, 'n'), 2);
        EXPECT_EQ(count(selected, 'f'), 1);
        other_region.push_back(selected.back());
    }
    EXPECT_EQ(other_region, (std::vector<std::string> { "f1", "f2", "f3" }));
}

TEST(FactPeerSelector, WithoutPeersInTheSameRegionOtherRegionsAreAskedAtOnce)
{
    FactPeerSelector selector;
    std::vector<Peer> const other_region { { "f1" }, { "f2" }, { "f3" }, { "f4" } };
    EXPECT_EQ(selector.on_read_failed(FactTopic::BackendServers, other_region), (std::vector<std::string> { "f1", "f2", "f3" }));
    EXPECT_TRUE(selector.on_read_failed(FactTopic::BackendServers, {}).empty());
}

TEST(FactPeerSelector, NewerPeersInOtherRegionsAreAskedLaterThanThoseInTheSameRegion)
{
    EXPECT_FALSE(FactPeerSelector::should_request_from_newer(Distance::SameRegion, Core::Duration(300)));
    EXPECT_TRUE(FactPeerSelector::should_request_from_newer(Distance::SameRegion, Core::Duration(400)));
    EXPECT_FALSE(FactPeerSelector::should_request_from_newer(Distance::OtherRegion, Core::Duration(400)));
    EXPECT_TRUE(FactPeerSelector::should_request_from_newer(Distance::OtherRegion, Core::Duration(1500)));
}
