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

/// Tells agents what their engines are to hold, each with the peers that it works with, and again once that is news.
class GoalTeller {
public:
    /// @param regions the region of each failure domain.
    GoalTeller(Transport::LinkHub&, Configuration::FactReplica const&, std::map<std::string, std::string> const& regions);

    /// Tells an agent that has just come.
    void tell(std::string const& agent, std::vector<Schema::WeightsGoal> const& goals);
    /// Tells each linked agent to which it is news.
    void tell_all(std::vector<Schema::WeightsGoal> const& goals);

private:
    /// Nothing for an agent whose engine is not listed yet.
    using Domain = std::optional<std::string>;

    struct News {
        std::vector<Schema::Message> messages;
        /// The same as one text but for the age of the goals, which alone is no news.
        std::string text;
    };

    /// The failure domains of the agents whose engines are listed.
    std::map<std::string, std::string> domains() const;
    News news_for(Domain const&, std::vector<Schema::WeightsGoal> const& goals) const;

    Transport::LinkHub& m_hub;
    Configuration::FactReplica const& m_facts;
    std::map<std::string, std::string> const& m_regions;
    // What the agents of a domain were told last.
    std::map<Domain, std::string> m_told;
};

}
