// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibSchema/Generated.h>
#include <LibTransport/LinkHub.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace DirectEntry {

/// Sends agents the weights goals: for each service the version that its engines are to hold, and the peers to exchange chunks with.
///
/// The peers depend on the failure domain of the agent's engine, so the goals are computed once per domain, and sent again only when
/// they change.
class WeightsGoalPublisher {
public:
    /// @param regions the region of each failure domain. All three arguments must outlive this object.
    WeightsGoalPublisher(Transport::LinkHub&, Configuration::FactReplica const&, std::map<std::string, std::string> const& regions);

    /// Sends the goals to a newly linked agent, whether or not they changed.
    void publish_to(std::string const& agent, std::vector<Schema::WeightsGoal> const& goals);
    /// Sends the goals to each linked agent for whose domain they differ from those sent last.
    void publish_changed(std::vector<Schema::WeightsGoal> const& goals);

private:
    /// A failure domain; std::nullopt for an agent whose engine is not in the list of backend servers yet.
    using Domain = std::optional<std::string>;

    struct GoalMessages {
        std::vector<Schema::Message> messages;
        /// The goals as one text for comparison, without their ages: a changed age alone is not sent.
        std::string text;
    };

    /// Failure domain of each listed engine, by the IP address of its agent.
    std::map<std::string, std::string> agent_domains() const;
    GoalMessages messages_for(Domain const&, std::vector<Schema::WeightsGoal> const& goals) const;

    Transport::LinkHub& m_hub;
    Configuration::FactReplica const& m_facts;
    std::map<std::string, std::string> const& m_regions;
    // The goals that the agents of a domain were sent last, as text.
    std::map<Domain, std::string> m_last_sent;
};

}
