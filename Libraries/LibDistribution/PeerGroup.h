// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <map>
#include <string>
#include <vector>

namespace Distribution {

/// Instances that exchange a version's chunks among themselves and take turns at switching to it. So many know each other
/// by links; what an instance is told and tells grows with the group and not with the fleet.
inline constexpr size_t largest_whole_group = 48;

/// Of those that are to hold a version, the group of the instances in a failure domain: all where they are few, else those
/// of the same region. Each instance of a group has the same group.
/// @param regions the region of each failure domain; one that is not named is a region of its own.
std::vector<Schema::GoalPeer> peer_group(std::vector<Schema::GoalPeer> const& peers, std::string const& failure_domain, std::map<std::string, std::string> const& regions);

}
