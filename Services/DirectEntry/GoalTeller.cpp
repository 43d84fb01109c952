// SPDX-License-Identifier: BSD-2-Clause
#include "GoalTeller.h"

#include <LibDistribution/PeerGroup.h>
#include <LibSchema/Json.h>
#include <LibTransport/SocketAddress.h>
#include <utility>

namespace DirectEntry {

GoalTeller::GoalTeller(Transport::LinkHub& hub, Configuration::FactReplica const& facts, std::map<std::string, std::string> const& regions)
    : m_hub(hub)
    , m_facts(facts)
    , m_regions(regions)
{
}

std::map<std::string, std::string> GoalTeller::domains() const
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

GoalTeller::News GoalTeller::news_for(Domain const& domain, std::vector<Schema::WeightsGoal> const& goals) const
{
    News news;
    for (auto goal : goals) {
        // An agent whose engine is not listed yet chooses its peers by its own settings.
        if (domain)
            goal.peers = Distribution::peer_group(goal.peers, *domain, m_regions);
        Schema::Message message;
        message.weights_goal = goal;
        news.messages.push_back(std::move(message));
        goal.age_ms = 0;
        news.text += Schema::to_text(goal);
    }
    return news;
}

void GoalTeller::tell(std::string const& agent, std::vector<Schema::WeightsGoal> const& goals)
{
    auto const domains = this->domains();
    auto const listed = domains.find(agent);
    for (auto const& message : news_for(listed == domains.end() ? Domain() : Domain(listed->second), goals).messages)
        m_hub.send(agent, message);
}

void GoalTeller::tell_all(std::vector<Schema::WeightsGoal> const& goals)
{
    auto const domains = this->domains();
    std::map<Domain, News> by_domain;
    for (auto const& agent : m_hub.peers(Schema::Role::Agent)) {
        auto const listed = domains.find(agent);
        auto const domain = listed == domains.end() ? Domain() : Domain(listed->second);
        auto const known = by_domain.find(domain);
        auto const& news = known != by_domain.end() ? known->second : by_domain.emplace(domain, news_for(domain, goals)).first->second;
        auto const told = m_told.find(domain);
        if (told != m_told.end() && told->second == news.text)
            continue;
        for (auto const& message : news.messages)
            m_hub.send(agent, message);
    }
    m_told.clear();
    for (auto& [domain, news] : by_domain)
        m_told[domain] = std::move(news.text);
}

}
