// SPDX-License-Identifier: BSD-2-Clause
#include "EntryWeights.h"

#include <LibTransport/SocketAddress.h>
#include <algorithm>

namespace DirectEntry {

static constexpr double bytes_per_megabit = 125000;
// The rest is left to callers and backend servers.
static constexpr double weights_part_of_link = 0.75;

static WeightsCacheSettings cache_settings(Schema::DirectEntrySettings const& settings)
{
    WeightsCacheSettings result;
    result.identity = settings.identity;
    result.chunk_port = static_cast<uint16_t>(*settings.metrics_port);
    result.bytes_per_second = static_cast<int64_t>(*settings.link_megabits_per_second * bytes_per_megabit * weights_part_of_link);
    return result;
}

EntryWeights::EntryWeights(Core::EventLoop& loop, EntryWeightsContext context, Core::Metrics& metrics, Platform::WeightOrigin& origin)
    : m_context(context)
    , m_cache(loop, cache_settings(context.settings), metrics, origin, callbacks())
{
}

WeightsCache::Callbacks EntryWeights::callbacks()
{
    return {
        .announce = [this](Schema::PieceMap const& map) { announce(map); },
        .is_wanted = [this](std::string const& service, int64_t version) { return is_wanted(service, version); },
        .sources = [this] { return sources(); },
    };
}

bool EntryWeights::is_in_region(std::string const& failure_domain) const
{
    auto const& regions = m_context.settings.regions;
    auto const region = regions.find(failure_domain);
    return region != regions.end() && region->second == m_context.settings.region;
}

bool EntryWeights::is_wanted(std::string const& service, int64_t version) const
{
    auto const now = Core::monotonic_now();
    auto const servers = m_context.facts.servers();
    return std::any_of(servers.begin(), servers.end(), [&](auto const* server) {
        return server->service == service && !server->is_draining && m_context.servers.version_of(server->id, now) < version;
    });
}

bool EntryWeights::is_lost(Schema::WeightsGoal const& goal) const
{
    auto const now = Core::monotonic_now();
    bool has_servers = false;
    for (auto const* server : m_context.facts.servers()) {
        if (server->service != goal.service || server->is_draining)
            continue;
        has_servers = true;
        if (m_context.servers.version_of(server->id, now) >= goal.version)
            return false;
    }
    return has_servers;
}

Weights::CopySources EntryWeights::sources() const
{
    Weights::CopySources sources;
    sources.caches = { m_context.known_entries.begin(), m_context.known_entries.end() };
    sources.caches.push_back(m_context.settings.identity);
    sources.near.push_back(m_context.settings.identity);
    for (auto const& [identity, load] : m_context.sharing.peer_loads()) {
        if (is_in_region(load.failure_domain))
            sources.near.push_back(identity);
    }
    return sources;
}

std::set<std::string> EntryWeights::near_agents() const
{
    std::set<std::string> agents;
    for (auto const* server : m_context.facts.servers()) {
        if (is_in_region(server->failure_domain))
            agents.insert(Transport::split_address(server->address).first);
    }
    return agents;
}

void EntryWeights::announce(Schema::PieceMap const& map)
{
    Schema::Message message;
    message.pieces = map;
    for (auto const& entry : m_context.hub.peers(Schema::Role::Entry))
        m_context.hub.send(entry, message);
    for (auto const& agent : near_agents())
        m_context.hub.send(agent, message);
}

void EntryWeights::tell_held(Schema::Hello const& peer)
{
    bool const is_told = peer.role == Schema::Role::Entry || near_agents().contains(peer.identity);
    if (!is_told)
        return;
    for (auto const& map : m_cache.held()) {
        Schema::Message message;
        message.pieces = map;
        m_context.hub.send(peer.identity, message);
    }
}

}
