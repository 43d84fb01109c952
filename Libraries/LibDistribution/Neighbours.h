// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <vector>

namespace Distribution {

/// An instance that may become a neighbour, and where it runs.
struct NeighbourCandidate {
    std::string id;
    std::string failure_domain;
    std::string region;
};

/// Returns the ids of the peers that an instance keeps a link to in order to exchange chunks: `count` + `extra_count` of them, or all if
/// there are fewer. Half are the closest (same failure domain first, then same region), the others are from anywhere; both halves are
/// chosen by rendezvous hashing. `extra_count` is above zero when the neighbours so far have had nothing to offer.
std::vector<std::string> choose_neighbours(NeighbourCandidate const& self, std::vector<NeighbourCandidate> const& others, size_t count, size_t extra_count);

}
