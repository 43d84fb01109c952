// SPDX-License-Identifier: BSD-2-Clause
#include <LibMembership/InstanceList.h>

#include <LibCore/Hash.h>
#include <algorithm>

namespace Membership {

bool InstanceList::update(Schema::Members members)
{
    if (members.version <= m_members.version)
        return false;
    m_members = std::move(members);
    m_index.clear();
    for (size_t i = 0; i < m_members.instances.size(); ++i)
        m_index[m_members.instances[i].id] = i;
    return true;
}

Schema::Instance const* InstanceList::find(std::string const& id) const
{
    auto found = m_index.find(id);
    return found == m_index.end() ? nullptr : &m_members.instances[found->second];
}

std::vector<std::string> InstanceList::live_agents(std::string const& service) const
{
    std::vector<std::string> ids;
    for (auto const& [id, index] : m_index) {
        auto const& instance = m_members.instances[index];
        if (instance.role == Schema::Role::Agent && instance.state == Schema::InstanceState::Live && instance.service == service)
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> InstanceList::live_entries() const
{
    std::vector<std::string> ids;
    for (auto const& [id, index] : m_index) {
        auto const& instance = m_members.instances[index];
        if (instance.role == Schema::Role::Entry && instance.state == Schema::InstanceState::Live)
            ids.push_back(id);
    }
    return ids;
}

std::set<std::string> InstanceList::services() const
{
    std::set<std::string> names;
    for (auto const& instance : m_members.instances) {
        if (instance.role == Schema::Role::Agent)
            names.insert(instance.service);
    }
    return names;
}

static constexpr size_t demand_relays = 3;

bool is_demand_relay(std::string const& agent, InstanceList const& list)
{
    // An agent's rank is the number of live agents with a higher hash.
    auto const own = Core::stable_hash("demand", agent);
    size_t rank = 0;
    for (auto const& instance : list.members().instances) {
        bool const is_live_agent = instance.role == Schema::Role::Agent && instance.state == Schema::InstanceState::Live;
        if (is_live_agent && Core::stable_hash("demand", instance.id) > own)
            rank += 1;
    }
    return rank < demand_relays;
}

std::set<std::string> agents_linked_to(std::string const& entry, InstanceList const& list, size_t links_per_service)
{
    auto entries = list.live_entries();
    if (std::find(entries.begin(), entries.end(), entry) == entries.end())
        entries.push_back(entry);
    std::map<std::string, std::vector<std::string>> by_service;
    for (auto const& instance : list.members().instances) {
        // Links to a leaving agent are kept until its requests have ended.
        if (instance.role == Schema::Role::Agent)
            by_service[instance.service].push_back(instance.id);
    }
    std::set<std::string> linked;
    for (auto const& [service, agents] : by_service) {
        size_t const wanted = entries.size() * links_per_service;
        size_t const per_agent = std::max(min_entries_per_agent, (wanted + agents.size() - 1) / agents.size());
        for (auto const& agent : agents) {
            auto order = Core::rendezvous_order(agent, entries);
            auto const end = order.begin() + static_cast<ptrdiff_t>(std::min(per_agent, order.size()));
            if (std::find(order.begin(), end, entry) != end)
                linked.insert(agent);
        }
    }
    return linked;
}

}
