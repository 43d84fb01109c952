// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/EngineFollowers.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <utility>

namespace Routing {

Distance distance_between(std::string const& domain, std::string const& other_domain, RegionByDomain const& regions)
{
    if (domain == other_domain)
        return Distance::SameDomain;
    auto const region = regions.find(domain);
    auto const other_region = regions.find(other_domain);
    bool const is_same_region = region != regions.end() && other_region != regions.end() && region->second == other_region->second;
    return is_same_region ? Distance::SameRegion : Distance::OtherRegion;
}

/// Sort key of an entry among the candidate followers of an engine. The entries with the lowest keys follow it.
static std::pair<Distance, uint64_t> follower_key(SharingEntry const& entry, SharedEngine const& engine, RegionByDomain const& regions)
{
    return { distance_between(entry.failure_domain, engine.failure_domain, regions), Core::stable_hash(engine.id, entry.identity) };
}

bool follows_engine(SharingEntry const& entry, std::vector<SharingEntry> const& entries, SharedEngine const& engine, RegionByDomain const& regions)
{
    if (entries.size() <= followers_per_engine)
        return true;
    auto const entry_key = follower_key(entry, engine, regions);
    size_t preferred_count = 0;
    for (auto const& other : entries) {
        if (other.identity == entry.identity)
            continue;
        preferred_count += follower_key(other, engine, regions) < entry_key ? 1 : 0;
        if (preferred_count == followers_per_engine)
            return false;
    }
    return true;
}

std::vector<SharedEngine> nearest_engines(SharingEntry const& entry, std::vector<SharedEngine> engines, size_t count, RegionByDomain const& regions)
{
    if (engines.size() <= count)
        return engines;
    std::sort(engines.begin(), engines.end(), [&](auto const& a, auto const& b) { return follower_key(entry, a, regions) < follower_key(entry, b, regions); });
    engines.resize(count);
    return engines;
}

}
