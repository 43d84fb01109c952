// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/ReplayedState.h>
#include <LibMembership/InstanceList.h>
#include <map>
#include <string>
#include <vector>

namespace Placement {

/// An instance that could hold a copy of the weights.
struct Candidate {
    std::string id;
    std::string failure_domain;
};

/// Chooses the instances that hold the `replicas` copies of a rollout. The copies are spread evenly over the failure domains, and within a
/// failure domain by rendezvous hash with `key`, so that the loss of an instance moves about one copy.
/// @return identities of instances in the order in which they switch to a new version; fewer than `replicas` if there are too few.
std::vector<std::string> choose_instances(std::string const& key, size_t replicas, std::vector<Candidate> const&);

/// The identities of the instances that hold each rollout's weights, by name of the rollout.
using Assignment = std::map<std::string, std::vector<std::string>>;

/// Assigns live agents' instances to the rollouts. This is a pure function of the configuration and the list of instances, so every agent
/// computes the same result from the same input. An instance holds at most one rollout. If there are too few instances, rollouts
/// get theirs in the order of their names.
Assignment assign(Configuration::ReplayedState const&, Membership::InstanceList const&);

/// Returns the name of the rollout that an instance is assigned to, or an empty string.
std::string rollout_of(Assignment const&, std::string const& instance);

}
