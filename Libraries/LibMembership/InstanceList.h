// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Membership {

/// The platform's list, as far as this process has heard of it. It says who may exist, not who answers.
class InstanceList {
public:
    /// Takes a list unless it is older than, or the same as, the one held.
    /// @return true if it was taken.
    bool update(Schema::Members);

    /// Version of the list held; -1 before the first.
    int64_t version() const { return m_members.version; }

    Schema::Members const& members() const { return m_members; }
    Schema::Instance const* find(std::string const& id) const;

    /// Identities of the agents beside a service's backend servers that are not leaving, sorted.
    std::vector<std::string> live_agents(std::string const& service) const;

    /// Identities of the entries that are not leaving, sorted.
    std::vector<std::string> live_entries() const;

    /// All services that some agent serves.
    std::set<std::string> services() const;

private:
    Schema::Members m_members = [] {
        Schema::Members none;
        none.version = -1;
        return none;
    }();
    std::map<std::string, size_t> m_index;
};

/// The agents that an entry keeps a link to: for every service about `links_per_service` of its agents,
/// so chosen that every agent is linked to the same number of entries, at least `least_entries_per_agent`.
/// While a service has few agents, or there are few entries, this is all of them.
std::set<std::string> agents_linked_to(std::string const& entry, InstanceList const&, size_t links_per_service);

inline constexpr size_t least_entries_per_agent = 3;

/// True for the few agents, the same in every process, that pass entries' demand on to one another.
bool is_demand_relay(std::string const& agent, InstanceList const&);

}
