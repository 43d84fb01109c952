// SPDX-License-Identifier: BSD-2-Clause
#include "EngineSharing.h"

#include <LibTransport/SocketAddress.h>
#include <utility>

namespace DirectEntry {

// Weight of the previous value in the exponential smoothing of request rates, per interval.
static constexpr double demand_smoothing = 0.7;
static constexpr double milliseconds_per_second = 1000;

EngineSharing::EngineSharing(std::string identity, std::string failure_domain)
    : m_identity(std::move(identity))
    , m_failure_domain(std::move(failure_domain))
{
}

bool EngineSharing::on_peer_load(std::string const& entry, Schema::EntryLoad const& load)
{
    return m_peer_loads.insert_or_assign(entry, load).second;
}

void EngineSharing::end_interval()
{
    auto const seconds = static_cast<double>(interval.count()) / milliseconds_per_second;
    for (auto& [service, count] : m_request_counts) {
        auto const rate = static_cast<double>(std::exchange(count, 0)) / seconds;
        auto const [known, is_new] = m_demand.try_emplace(service, rate);
        if (!is_new)
            known->second = demand_smoothing * known->second + (1 - demand_smoothing) * rate;
    }
}

Schema::EntryLoad EngineSharing::load() const
{
    Schema::EntryLoad load;
    load.failure_domain = m_failure_domain;
    for (auto const& [service, rate] : m_demand)
        load.demand.push_back({ .per_second = rate, .service = service });
    return load;
}

std::vector<Routing::SharingEntry> EngineSharing::entries_with_demand(std::string const& service) const
{
    auto const own = m_demand.find(service);
    std::vector<Routing::SharingEntry> entries { { m_identity, m_failure_domain, own == m_demand.end() ? 0 : own->second } };
    for (auto const& [identity, load] : m_peer_loads) {
        Routing::SharingEntry entry { identity, load.failure_domain, 0 };
        for (auto const& demand : load.demand)
            entry.demand = demand.service == service ? demand.per_second : entry.demand;
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::vector<Routing::SharingEntry> EngineSharing::entries() const
{
    std::vector<Routing::SharingEntry> entries { { m_identity, m_failure_domain, 0 } };
    for (auto const& [identity, load] : m_peer_loads)
        entries.push_back({ identity, load.failure_domain, 0 });
    return entries;
}

std::map<std::string, Routing::EngineRole> EngineSharing::roles(Routing::RouteTable const& routes, Configuration::FactReplica const& facts, Routing::ServerTable const& servers, Routing::FollowedEngines const& followed, Core::Time now) const
{
    std::map<std::string, Routing::EngineRole> roles;
    for (auto const& service : routes.configuration().services) {
        if (!service.timing)
            continue;
        std::vector<Routing::SharedEngine> engines;
        for (auto const* server : facts.servers()) {
            if (server->service != service.name || servers.is_leaving(server->id))
                continue;
            bool const is_followed = followed.contains(Transport::split_address(server->address).first);
            if (!is_followed || servers.version_of(server->id, now) > 0)
                engines.push_back({ server->id, server->failure_domain });
        }
        roles.merge(Routing::engine_roles(m_identity, entries_with_demand(service.name), engines));
    }
    return roles;
}

}
