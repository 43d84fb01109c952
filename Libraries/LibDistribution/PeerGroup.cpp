// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/PeerGroup.h>

#include <algorithm>
#include <iterator>

namespace Distribution {

std::vector<Schema::GoalPeer> peer_group(std::vector<Schema::GoalPeer> const& peers, std::string const& failure_domain, std::map<std::string, std::string> const& regions)
{
    if (peers.size() <= max_undivided_group_size)
        return peers;
    auto const region_of = [&regions](std::string const& domain) {
        auto const region = regions.find(domain);
        return region == regions.end() ? domain : region->second;
    };
    auto const region = region_of(failure_domain);
    std::vector<Schema::GoalPeer> group;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(group), [&](auto const& peer) { return region_of(peer.failure_domain) == region; });
    return group;
}

}
