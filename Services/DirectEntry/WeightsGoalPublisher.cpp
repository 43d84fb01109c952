// SPDX-License-Identifier: BSD-2-Clause
#include "WeightsGoalPublisher.h"

#include <LibDistribution/PeerGroup.h>
#include <LibSchema/Json.h>
#include <LibTransport/SocketAddress.h>
#include <utility>

namespace DirectEntry {

WeightsGoalPublisher::WeightsGoalPublisher(Transport::LinkHub& hub, Configuration::FactReplica const& facts, std::map<std::string, std::string> const& regions)
    : m_hub(hub)
    , m_facts(facts)
    , m_regions(regions)
{
}

std::map<std::string, std::string> WeightsGoalPublisher::agent_domains() const
{
    std::map<std::string, std::string> domains;
    for (auto const* server : m_facts.servers()) {
        auto const ip = Transport::split_address(server->address).first;
        // Of two list items with the same address, the one that is not draining gives the failure domain.
        if (!server->is_draining || !domains.contains(ip))
            domains[ip] = server->failure_domain;
    }
    return domains;
}

WeightsGoalPublisher::GoalMessages WeightsGoalPublisher::messages_for(Domain const& domain, std::vector<Schema::WeightsGoal> const& goals) const
{
    GoalMessages result;
    for (auto goal : goals) {
        // An agent whose engine is not listed yet chooses its peers by its own settings.
        if (domain)
            goal.peers = Distribution::peer_group(goal.peers, *domain, m_regions);
        Schema::Message message;
        message.weights_goal = goal;
        result.messages.push_back(std::move(message));
        goal.age_ms = 0;
        result.text += Schema::to_text(goal);
    }
    return result;
}

void WeightsGoalPublisher::publish_to(std::string const& agent, std::vector<Schema::WeightsGoal> const& goals)
{
    auto const domains = this->agent_domains();
    auto const listed = domains.find(agent);
    for (auto const& message : messages_for(listed == domains.end() ? Domain() : Domain(listed->second), goals).messages)
        m_hub.send(agent, message);
}

void WeightsGoalPublisher::publish_changed(std::vector<Schema::WeightsGoal> const& goals)
{
    auto const domains = this->agent_domains();
    std::map<Domain, GoalMessages> by_domain;
    for (auto const& agent : m_hub.peers(Schema::Role::Agent)) {
        auto const listed = domains.find(agent);
        auto const domain = listed == domains.end() ? Domain() : Domain(listed->second);
        auto const known = by_domain.find(domain);
        auto const& current = known != by_domain.end() ? known->second : by_domain.emplace(domain, messages_for(domain, goals)).first->second;
        auto const last_sent = m_last_sent.find(domain);
        if (last_sent != m_last_sent.end() && last_sent->second == current.text)
            continue;
        for (auto const& message : current.messages)
            m_hub.send(agent, message);
    }
    m_last_sent.clear();
    for (auto& [domain, current] : by_domain)
        m_last_sent[domain] = std::move(current.text);
}

}
