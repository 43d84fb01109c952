// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlacement/Placement.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <set>

namespace Placement {

std::vector<std::string> choose_instances(std::string const& key, size_t replicas, std::vector<Candidate> const& candidates)
{
    std::map<std::string, std::vector<std::string>> by_domain;
    for (auto const& candidate : candidates)
        by_domain[candidate.failure_domain].push_back(candidate.id);
    std::vector<std::string> domains;
    for (auto& [domain, ids] : by_domain) {
        domains.push_back(domain);
        ids = Core::rendezvous_order(key, std::move(ids));
    }
    domains = Core::rendezvous_order(key, std::move(domains));

    // Assigns one copy to each domain in turn: the numbers of copies differ by one at most, unless a domain has no free instance left.
    std::vector<std::string> chosen;
    for (size_t round = 0; chosen.size() < replicas && round < candidates.size(); ++round) {
        for (auto const& domain : domains) {
            auto const& ids = by_domain[domain];
            if (round < ids.size() && chosen.size() < replicas)
                chosen.push_back(ids[round]);
        }
    }
    return chosen;
}

static bool is_in_places(Schema::Instance const& instance, Schema::RolloutSpec const& rollout)
{
    if (!rollout.places || rollout.places->empty())
        return true;
    return std::any_of(rollout.places->begin(), rollout.places->end(), [&](auto const& place) {
        return place == instance.failure_domain || place == instance.region;
    });
}

static bool serves(Schema::Instance const& instance, Schema::RolloutSpec const& rollout)
{
    return std::find(rollout.services.begin(), rollout.services.end(), instance.service) != rollout.services.end();
}

Assignment assign(Configuration::ReplayedState const& replayed_state, Membership::InstanceList const& list)
{
    Assignment assignment;
    std::set<std::string> assigned;
    for (auto const& [name, rollout] : replayed_state.rollouts()) {
        std::vector<Candidate> candidates;
        for (auto const& instance : list.members().instances) {
            bool const is_eligible = instance.role == Schema::Role::Agent && instance.state == Schema::InstanceState::Live;
            if (!is_eligible || assigned.contains(instance.id))
                continue;
            if (serves(instance, rollout) && is_in_places(instance, rollout))
                candidates.push_back({ instance.id, instance.failure_domain });
        }
        auto chosen = choose_instances(name, static_cast<size_t>(rollout.replicas), candidates);
        assigned.insert(chosen.begin(), chosen.end());
        assignment[name] = std::move(chosen);
    }
    return assignment;
}

std::string rollout_of(Assignment const& assignment, std::string const& instance)
{
    for (auto const& [rollout, instances] : assignment) {
        if (std::find(instances.begin(), instances.end(), instance) != instances.end())
            return rollout;
    }
    return {};
}

}
