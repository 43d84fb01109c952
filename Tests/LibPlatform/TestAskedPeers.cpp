// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/AskedPeers.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace Platform;
using Configuration::FactTopic;

namespace {

std::vector<Peer> const peers_of_two_regions { { "f1", Distance::OtherRegion }, { "n1", Distance::SameRegion }, { "f2", Distance::OtherRegion }, { "n2", Distance::SameRegion }, { "f3", Distance::OtherRegion } };

long count(std::vector<std::string> const& asked, char distance)
{
    return std::count_if(asked.begin(), asked.end(), [&](auto const& identity) { return identity.front() == distance; });
}

}

TEST(FactPeerSelector, TheServerListIsRequestedInTheSameRegionAfterFewFailures)
{
    FactPeerSelector asked;
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(asked.on_read_failed(FactTopic::BackendServers, peers_of_two_regions), (std::vector<std::string> { "n1", "n2" }));
    EXPECT_TRUE(asked.should_request_from_linked(Distance::SameRegion));
    EXPECT_FALSE(asked.should_request_from_linked(Distance::OtherRegion));
}

TEST(FactPeerSelector, TheServerListIsRequestedInOtherRegionsAfterThreeFailures)
{
    FactPeerSelector asked;
    for (int i = 0; i < 2; ++i)
        asked.on_read_failed(FactTopic::BackendServers, peers_of_two_regions);
    EXPECT_EQ(count(asked.on_read_failed(FactTopic::BackendServers, peers_of_two_regions), 'f'), 1);
    EXPECT_TRUE(asked.should_request_from_linked(Distance::OtherRegion));
    asked.on_read_recovered(FactTopic::BackendServers);
    EXPECT_FALSE(asked.should_request_from_linked(Distance::SameRegion));
    EXPECT_EQ(count(asked.on_read_failed(FactTopic::BackendServers, peers_of_two_regions), 'f'), 0);
}

TEST(FactPeerSelector, TheConfigurationIsRequestedInAnotherRegionAtTheFirstFailure)
{
    FactPeerSelector asked;
    std::vector<std::string> far;
    for (int i = 0; i < 3; ++i) {
        auto const now = asked.on_read_failed(FactTopic::Configuration, peers_of_two_regions);
        EXPECT_EQ(count(now, 'n'), 2);
        EXPECT_EQ(count(now, 'f'), 1);
        far.push_back(now.back());
    }
    EXPECT_EQ(far, (std::vector<std::string> { "f1", "f2", "f3" }));
}

TEST(FactPeerSelector, WithoutPeersInTheSameRegionOtherRegionsAreAskedAtOnce)
{
    FactPeerSelector asked;
    std::vector<Peer> const far { { "f1" }, { "f2" }, { "f3" }, { "f4" } };
    EXPECT_EQ(asked.on_read_failed(FactTopic::BackendServers, far), (std::vector<std::string> { "f1", "f2", "f3" }));
    EXPECT_TRUE(asked.on_read_failed(FactTopic::BackendServers, {}).empty());
}

TEST(FactPeerSelector, NewerPeersInOtherRegionsAreAskedLaterThanThoseInTheSameRegion)
{
    EXPECT_FALSE(FactPeerSelector::should_request_from_newer(Distance::SameRegion, Core::Duration(300)));
    EXPECT_TRUE(FactPeerSelector::should_request_from_newer(Distance::SameRegion, Core::Duration(400)));
    EXPECT_FALSE(FactPeerSelector::should_request_from_newer(Distance::OtherRegion, Core::Duration(400)));
    EXPECT_TRUE(FactPeerSelector::should_request_from_newer(Distance::OtherRegion, Core::Duration(1500)));
}
