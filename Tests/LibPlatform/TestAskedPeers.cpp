// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/AskedPeers.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace Platform;
using Configuration::FactTopic;

namespace {

std::vector<Peer> const peers_of_two_regions { { "f1", Distance::Far }, { "n1", Distance::Near }, { "f2", Distance::Far }, { "n2", Distance::Near }, { "f3", Distance::Far } };

long count(std::vector<std::string> const& asked, char distance)
{
    return std::count_if(asked.begin(), asked.end(), [&](auto const& identity) { return identity.front() == distance; });
}

}

TEST(AskedPeers, AListThatIsLateIsAskedOfThoseNearAlone)
{
    AskedPeers asked;
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(asked.on_failing(FactTopic::BackendServers, peers_of_two_regions), (std::vector<std::string> { "n1", "n2" }));
    EXPECT_TRUE(asked.may_ask_linked(Distance::Near));
    EXPECT_FALSE(asked.may_ask_linked(Distance::Far));
}

TEST(AskedPeers, AListThatNobodyNearCanReadIsAskedOfThoseFar)
{
    AskedPeers asked;
    for (int i = 0; i < 2; ++i)
        asked.on_failing(FactTopic::BackendServers, peers_of_two_regions);
    EXPECT_EQ(count(asked.on_failing(FactTopic::BackendServers, peers_of_two_regions), 'f'), 1);
    EXPECT_TRUE(asked.may_ask_linked(Distance::Far));
    asked.on_regained(FactTopic::BackendServers);
    EXPECT_FALSE(asked.may_ask_linked(Distance::Near));
    EXPECT_EQ(count(asked.on_failing(FactTopic::BackendServers, peers_of_two_regions), 'f'), 0);
}

TEST(AskedPeers, TheOperatorsRecordsAreAskedOfOneFarAtOnce)
{
    AskedPeers asked;
    std::vector<std::string> far;
    for (int i = 0; i < 3; ++i) {
        auto const now = asked.on_failing(FactTopic::Configuration, peers_of_two_regions);
        EXPECT_EQ(count(now, 'n'), 2);
        EXPECT_EQ(count(now, 'f'), 1);
        far.push_back(now.back());
    }
    EXPECT_EQ(far, (std::vector<std::string> { "f1", "f2", "f3" }));
}

TEST(AskedPeers, WithNobodyNearThoseFarAreAskedAtOnce)
{
    AskedPeers asked;
    std::vector<Peer> const far { { "f1" }, { "f2" }, { "f3" }, { "f4" } };
    EXPECT_EQ(asked.on_failing(FactTopic::BackendServers, far), (std::vector<std::string> { "f1", "f2", "f3" }));
    EXPECT_TRUE(asked.on_failing(FactTopic::BackendServers, {}).empty());
}

TEST(AskedPeers, OneFarThatHasReadFurtherIsAskedAfterThoseNear)
{
    EXPECT_FALSE(AskedPeers::may_ask_ahead(Distance::Near, Core::Duration(300)));
    EXPECT_TRUE(AskedPeers::may_ask_ahead(Distance::Near, Core::Duration(400)));
    EXPECT_FALSE(AskedPeers::may_ask_ahead(Distance::Far, Core::Duration(400)));
    EXPECT_TRUE(AskedPeers::may_ask_ahead(Distance::Far, Core::Duration(1500)));
}
