// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibRouting/EngineOwners.h>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// Number of entries that follow one engine, which means that they keep a link to the engine's agent. With this many entries or
/// fewer, each entry follows every engine. With more, an agent's work is independent of the number of entries, and an entry's work
/// grows with the number of engines per entry only. Sixteen covers the entries of one region in fleets of some hundred instances,
/// plus a few entries of other regions as a backup if those are lost.
inline constexpr size_t followers_per_engine = 16;

/// How far an entry is from an engine. Enumerators are ordered from near to far.
enum class Distance {
    SameDomain,
    SameRegion,
    OtherRegion,
};

/// Maps each failure domain to its region, as configured in the settings.
using RegionByDomain = std::map<std::string, std::string>;

/// Distance between two failure domains. A domain that the map lacks belongs to no region: it is in OtherRegion of every domain
/// but itself.
Distance distance_between(std::string const& domain, std::string const& other_domain, RegionByDomain const&);

/// Whether `entry` is one of the followers_per_engine followers of the engine, that is, keeps a link to its agent. Nearer entries
/// are preferred; entries at the same distance are ordered by rendezvous hash. Entries that know the same list of entries agree
/// on the followers, and when an entry joins or leaves, only its own links and those that replace them change.
/// @param entries the entries that are up, with or without `entry` itself.
bool follows_engine(SharingEntry const& entry, std::vector<SharingEntry> const& entries, SharedEngine const&, RegionByDomain const&);

/// Returns the `count` engines that are nearest to the entry, or all if there are no more than that.
std::vector<SharedEngine> nearest_engines(SharingEntry const& entry, std::vector<SharedEngine> engines, size_t count, RegionByDomain const&);

}
