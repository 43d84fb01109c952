// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <map>
#include <string>
#include <vector>

namespace Distribution {

/// Up to this many instances form one peer group: the instances that exchange a version's chunks and take turns at switching to it.
/// The members know each other over links, so the messages that each sends and receives grow with the group and not with the fleet.
inline constexpr size_t max_undivided_group_size = 48;

/// Returns the peer group of the instances in a failure domain: all of `peers` if there are at most `max_undivided_group_size`, otherwise
/// those in the same region. The result is the same for every member of a group.
/// @param peers the instances that should hold the version.
/// @param regions the region of each failure domain; a domain that is missing here is a region of its own.
std::vector<Schema::GoalPeer> peer_group(std::vector<Schema::GoalPeer> const& peers, std::string const& failure_domain, std::map<std::string, std::string> const& regions);

}
