// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibRouting/EngineOwners.h>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// Entries that keep a link to the agent of one engine. With as many or fewer entries each follows every engine; with more,
/// an agent's work stays the same however many there are, and an entry's grows with engines by entry only. Enough for the
/// entries of one region in fleets of some hundred instances, with a few from elsewhere that stand in if these are lost.
inline constexpr size_t followers_per_engine = 16;

/// How far an entry is from an engine; less is nearer.
enum class Distance {
    SameDomain,
    SameRegion,
    OtherRegion,
};

/// Failure domains and the regions that they are in, as the settings name them.
using Regions = std::map<std::string, std::string>;

/// Domains that are not named are in no region, and near nothing but themselves.
Distance distance_between(std::string const& domain, std::string const& other_domain, Regions const&);

/// Whether an entry is one of the engine's followers: near entries first, then by rendezvous hash, so that all who know of
/// the same entries agree, and only the links of one that comes or goes change.
/// @param entries those that are up, with or without `entry` itself.
bool follows_engine(SharingEntry const& entry, std::vector<SharingEntry> const& entries, SharedEngine const&, Regions const&);

/// The engines nearest to an entry, at most `count`.
std::vector<SharedEngine> nearest_engines(SharingEntry const& entry, std::vector<SharedEngine> engines, size_t count, Regions const&);

}
