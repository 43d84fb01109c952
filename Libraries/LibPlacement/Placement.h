// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/Fold.h>
#include <LibMembership/InstanceList.h>
#include <map>
#include <string>
#include <vector>

namespace Placement {

/// An instance that could hold a copy.
struct Candidate {
    std::string id;
    std::string failure_domain;
};

/// Chooses instances for `replicas` copies, spread evenly over failure domains and, within one,
/// by rendezvous hashing with `key`, so that the loss of an instance moves about one copy.
/// The result is ordered: the first to switch to a new version comes first. It is shorter if there are too few.
std::vector<std::string> place(std::string const& key, size_t replicas, std::vector<Candidate> const&);

/// Which instances each rollout holds, by rollout name.
using Assignment = std::map<std::string, std::vector<std::string>>;

/// A pure function of the configuration and the list: every agent works out the same answer from the same two.
/// An instance holds one rollout at most; where there are too few, rollouts are served in the order of their names.
Assignment assign(Configuration::Fold const&, Membership::InstanceList const&);

/// The rollout that an instance holds, or an empty string.
std::string rollout_of(Assignment const&, std::string const& instance);

}
