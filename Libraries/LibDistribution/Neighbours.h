// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <vector>

namespace Distribution {

struct NeighbourCandidate {
    std::string id;
    std::string failure_domain;
    std::string region;
};

/// The peers that an instance keeps a link to for a version: about half near (the same failure domain first),
/// half anywhere, by rendezvous hashing. `widen` asks for that many more, when it is starved.
std::vector<std::string> choose_neighbours(NeighbourCandidate const& self, std::vector<NeighbourCandidate> const& others, size_t count, size_t widen);

}
