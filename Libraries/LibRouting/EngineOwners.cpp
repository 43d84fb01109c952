// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/EngineOwners.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <string_view>
#include <tuple>

namespace Routing {

// Requests per second. An entry without demand counts with this much, so that it owns engines and can serve as soon as callers come.
static constexpr double least_demand = 1;

namespace {

    struct Share {
        SharingEntry const* entry;
        // Number of engines that the entry's demand entitles it to, less those already assigned to it.
        double lacks;
    };

    Share* neediest(std::vector<Share>& shares, std::string const* failure_domain)
    {
        Share* best = nullptr;
        for (auto& share : shares) {
            if (failure_domain && share.entry->failure_domain != *failure_domain)
                continue;
            if (!best || share.lacks > best->lacks)
                best = &share;
        }
        return best;
    }

}

std::map<std::string, std::string> engine_owners(std::vector<SharingEntry> entries, std::vector<SharedEngine> engines)
{
    std::map<std::string, std::string> owners;
    if (entries.empty())
        return owners;
    std::sort(entries.begin(), entries.end(), [](auto const& a, auto const& b) { return a.identity < b.identity; });
    std::sort(engines.begin(), engines.end(), [](auto const& a, auto const& b) { return a.id < b.id; });
    double total = 0;
    for (auto const& entry : entries)
        total += std::max(least_demand, entry.demand);
    std::vector<Share> shares;
    shares.reserve(entries.size());
    for (auto const& entry : entries)
        shares.push_back({ &entry, std::max(least_demand, entry.demand) / total * static_cast<double>(engines.size()) });
    // First assigns engines to entries of the same failure domain whose deficit exceeds half an engine. The remaining engines go to the
    // entries with the greatest deficit in any domain.
    std::vector<SharedEngine const*> left;
    for (auto const& engine : engines) {
        auto* near = neediest(shares, &engine.failure_domain);
        if (!near || near->lacks <= 0.5) {
            left.push_back(&engine);
            continue;
        }
        owners[engine.id] = near->entry->identity;
        near->lacks -= 1;
    }
    for (auto const* engine : left) {
        auto* share = neediest(shares, nullptr);
        owners[engine->id] = share->entry->identity;
        share->lacks -= 1;
    }
    return owners;
}

/// Whether the entry is one of the helpers_per_engine helpers of the engine: those of the engine's failure domain first, then by
/// rendezvous hash.
static bool is_helper(SharingEntry const& entry, SharedEngine const& engine, std::string const& owner, std::vector<SharingEntry> const& entries)
{
    auto const key_of = [&engine](SharingEntry const& candidate) {
        // Tuples are compared in ascending order, so the inverted hash puts the greatest hash first.
        return std::tuple(candidate.failure_domain != engine.failure_domain, ~Core::stable_hash(engine.id, candidate.identity), std::string_view(candidate.identity));
    };
    auto const own_key = key_of(entry);
    size_t before = 0;
    for (auto const& other : entries) {
        if (other.identity == owner || other.identity == entry.identity)
            continue;
        before += key_of(other) < own_key ? 1 : 0;
        if (before == helpers_per_engine)
            return false;
    }
    return true;
}

std::map<std::string, EngineRole> engine_roles(std::string const& entry, std::vector<SharingEntry> const& entries, std::vector<SharedEngine> const& engines)
{
    std::map<std::string, EngineRole> roles;
    auto const owners = engine_owners(entries, engines);
    auto const self = std::find_if(entries.begin(), entries.end(), [&](auto const& candidate) { return candidate.identity == entry; });
    for (auto const& engine : engines) {
        auto const owner = owners.find(engine.id);
        bool const is_owner = owner != owners.end() && owner->second == entry;
        if (is_owner)
            roles[engine.id] = EngineRole::Owner;
        else if (owner != owners.end() && self != entries.end() && is_helper(*self, engine, owner->second, entries))
            roles[engine.id] = EngineRole::Helper;
    }
    return roles;
}

}
