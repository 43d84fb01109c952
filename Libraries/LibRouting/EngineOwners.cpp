// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/EngineOwners.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <string_view>
#include <tuple>

namespace Routing {

// Requests per second. An entry without demand counts with this much, so that it owns engines and can serve as soon as callers come.
static constexpr double min_demand = 1;

namespace {

    struct Share {
        SharingEntry const* entry;
        // Number of engines that the entry's demand entitles it to, less those already assigned to it.
        double deficit;
    };

    Share* with_greatest_deficit(std::vector<Share>& shares, std::string const* failure_domain)
    {
        Share* best = nullptr;
        for (auto& share : shares) {
            if (failure_domain && share.entry->failure_domain != *failure_domain)
                continue;
            if (!best || share.deficit > best->deficit)
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
        total += std::max(min_demand, entry.demand);
    std::vector<Share> shares;
    shares.reserve(entries.size());
    for (auto const& entry : entries)
        shares.push_back({ &entry, std::max(min_demand, entry.demand) / total * static_cast<double>(engines.size()) });
    // First assigns engines to entries of the same failure domain whose deficit exceeds half an engine. The remaining engines go to the
    // entries with the greatest deficit in any domain.
    std::vector<SharedEngine const*> unassigned;
    for (auto const& engine : engines) {
        auto* same_domain_share = with_greatest_deficit(shares, &engine.failure_domain);
        if (!same_domain_share || same_domain_share->deficit <= 0.5) {
            unassigned.push_back(&engine);
            continue;
        }
        owners[engine.id] = same_domain_share->entry->identity;
        same_domain_share->deficit -= 1;
    }
    for (auto const* engine : unassigned) {
        auto* share = with_greatest_deficit(shares, nullptr);
        owners[engine->id] = share->entry->identity;
        share->deficit -= 1;
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
    auto const entry_key = key_of(entry);
    size_t preferred_count = 0;
    for (auto const& other : entries) {
        if (other.identity == owner || other.identity == entry.identity)
            continue;
        preferred_count += key_of(other) < entry_key ? 1 : 0;
        if (preferred_count == helpers_per_engine)
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
