// SPDX-License-Identifier: BSD-2-Clause
#include "EntryWeights.h"

#include <LibTransport/SocketAddress.h>
#include <algorithm>

namespace DirectEntry {

static constexpr double bytes_per_megabit = 125000;
// Fraction of the network link that weights may use; the rest is left to callers and backend servers.
static constexpr double weights_share_of_link = 0.75;
// Within this time an entry that has started or dropped its links is linked to the agents, and an agent that has started has read its
// engine's report and received its goal: until then it reports version 0.
static constexpr Core::Duration first_report_time { 300 };

static WeightsCacheSettings cache_settings(Schema::DirectEntrySettings const& settings)
{
    WeightsCacheSettings result;
    result.identity = settings.identity;
    result.chunk_port = static_cast<uint16_t>(*settings.metrics_port);
    result.bytes_per_second = static_cast<int64_t>(*settings.link_megabits_per_second * bytes_per_megabit * weights_share_of_link);
    return result;
}

EntryWeights::EntryWeights(Core::EventLoop& loop, EntryWeightsContext const& context, Core::Metrics& metrics, Platform::WeightOrigin& origin)
    : m_context(context)
    , m_cache(loop, cache_settings(context.settings), metrics, origin, callbacks())
{
}

WeightsCache::Callbacks EntryWeights::callbacks()
{
    return {
        .announce = [this](Schema::PieceMap const& map) { announce(map); },
        .announce_to_other_regions = [this](Schema::PieceMap const& map) { announce_to_other_regions(map); },
        .is_wanted = [this](std::string const& service, int64_t version) { return is_wanted(service, version); },
        .is_lost = [this](std::string const& service, int64_t version) { return is_lost(service, version); },
        .detect_pause = [this] { m_context.detect_pause(); },
        .sources = [this] { return sources(); },
    };
}

bool EntryWeights::is_in_region(std::string const& failure_domain) const
{
    auto const& regions = m_context.settings.regions;
    auto const region = regions.find(failure_domain);
    return region != regions.end() && region->second == m_context.settings.region;
}

std::vector<Schema::BackendServer const*> EntryWeights::followed_servers(std::string const& service) const
{
    auto servers = m_context.facts.servers();
    std::erase_if(servers, [&](auto const* server) {
        return server->service != service || m_context.servers.is_leaving(server->id) || !m_context.followed.contains(Transport::split_address(server->address).first);
    });
    return servers;
}

bool EntryWeights::is_wanted(std::string const& service, int64_t version) const
{
    return is_lacked(service, version) || is_no_longer_reported(service, version);
}

bool EntryWeights::is_lacked(std::string const& service, int64_t version) const
{
    auto const now = Core::monotonic_now();
    auto const servers = followed_servers(service);
    return std::any_of(servers.begin(), servers.end(), [&](auto const* server) { return m_context.servers.version_of(server->id, now) < version; });
}

bool EntryWeights::is_reported(std::string const& service, int64_t version) const
{
    return m_context.servers.is_version_reported(service, version, Core::monotonic_now());
}

void EntryWeights::on_version_reported(std::string const& ip, int64_t version)
{
    auto& highest = m_reported_versions[ip];
    highest = std::max(highest, version);
}

void EntryWeights::forget_reported_versions()
{
    m_reported_versions.clear();
    m_lacked_since.clear();
}

bool EntryWeights::is_no_longer_reported(std::string const& service, int64_t version) const
{
    if (is_reported(service, version))
        return false;
    auto const servers = followed_servers(service);
    return !servers.empty() && std::all_of(servers.begin(), servers.end(), [&](auto const* server) {
        auto const before = m_reported_versions.find(Transport::split_address(server->address).first);
        return before != m_reported_versions.end() && before->second >= version;
    });
}

bool EntryWeights::is_lost(std::string const& service, int64_t version)
{
    if (is_no_longer_reported(service, version))
        return true;
    if (is_reported(service, version) || !is_lacked(service, version)) {
        m_lacked_since.erase(service);
        return false;
    }
    auto const now = Core::monotonic_now();
    auto const since = m_lacked_since.try_emplace(service, now).first->second;
    return now - since >= first_report_time;
}

Weights::CopySources EntryWeights::sources() const
{
    Weights::CopySources sources;
    // An entry that terminated reads nothing for the others, so only linked entries count as caches.
    sources.caches = m_context.hub.peers(Schema::Role::Entry);
    sources.caches.push_back(m_context.settings.identity);
    sources.same_region.push_back(m_context.settings.identity);
    for (auto const& [identity, load] : m_context.sharing.peer_loads()) {
        if (is_in_region(load.failure_domain))
            sources.same_region.push_back(identity);
    }
    return sources;
}

std::set<std::string> EntryWeights::agents_in_region() const
{
    std::set<std::string> agents;
    for (auto const* server : m_context.facts.servers()) {
        auto const ip = Transport::split_address(server->address).first;
        if (is_in_region(server->failure_domain) && m_context.followed.contains(ip))
            agents.insert(ip);
    }
    return agents;
}

bool EntryWeights::is_entry_in_region(std::string const& entry) const
{
    auto const load = m_context.sharing.peer_loads().find(entry);
    return load != m_context.sharing.peer_loads().end() && is_in_region(load->second.failure_domain);
}

void EntryWeights::announce(Schema::PieceMap const& map)
{
    Schema::Message message;
    message.pieces = map;
    for (auto const& entry : m_context.hub.peers(Schema::Role::Entry)) {
        if (is_entry_in_region(entry))
            m_context.hub.send(entry, message);
    }
    for (auto const& agent : agents_in_region())
        m_context.hub.send(agent, message);
}

void EntryWeights::announce_to_other_regions(Schema::PieceMap const& map)
{
    Schema::Message message;
    message.pieces = map;
    for (auto const& entry : m_context.hub.peers(Schema::Role::Entry)) {
        if (!is_entry_in_region(entry))
            m_context.hub.send(entry, message);
    }
}

void EntryWeights::announce_held_to(Schema::Hello const& peer)
{
    bool const is_told = peer.role == Schema::Role::Entry || agents_in_region().contains(peer.identity);
    if (!is_told)
        return;
    for (auto const& map : m_cache.held()) {
        Schema::Message message;
        message.pieces = map;
        m_context.hub.send(peer.identity, message);
    }
}

}
