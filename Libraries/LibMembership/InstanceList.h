// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Membership {

/// The newest list of instances (entries and agents) of the platform that this process received. A listed instance may
/// be unreachable.
class InstanceList {
public:
    /// Replaces the list by one with a higher version; any other is ignored.
    /// @return true if the list was replaced.
    bool update(Schema::Members);

    /// Version of the current list; -1 before the first.
    int64_t version() const { return m_members.version; }

    Schema::Members const& members() const { return m_members; }
    /// Returns the instance with this identity, or null if it is not listed.
    Schema::Instance const* find(std::string const& id) const;

    /// Returns the identities of the live agents beside a service's backend servers, sorted. Leaving agents are left out.
    std::vector<std::string> live_agents(std::string const& service) const;

    /// Returns the identities of the live entries, sorted. Leaving entries are left out.
    std::vector<std::string> live_entries() const;

    /// Returns the names of all services that a listed agent serves.
    std::set<std::string> services() const;

private:
    Schema::Members m_members = [] {
        Schema::Members none;
        none.version = -1;
        return none;
    }();
    std::map<std::string, size_t> m_index;
};

/// Returns the identities of the agents that an entry keeps a link to: about `links_per_service` agents of each service. They are chosen
/// by rendezvous hash so that every agent of a service is linked to the same number of entries, and to at least
/// `min_entries_per_agent`. If a service has few agents or there are few entries, these are all agents of the service.
std::set<std::string> agents_linked_to(std::string const& entry, InstanceList const&, size_t links_per_service);

/// Minimum number of entries that agents_linked_to() links to each agent, if there are as many.
inline constexpr size_t min_entries_per_agent = 3;

/// Returns true if the agent is one of the three that forward the entries' demand to one another. Every process with the same list
/// chooses the same agents, by rendezvous hash.
bool is_demand_relay(std::string const& agent, InstanceList const&);

}
