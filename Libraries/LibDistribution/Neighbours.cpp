// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/Neighbours.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace Distribution {

std::vector<std::string> choose_neighbours(NeighbourCandidate const& self, std::vector<NeighbourCandidate> const& others, size_t count, size_t extra_count)
{
    struct Scored {
        int distance;
        uint64_t score;
        std::string id;
    };
    std::vector<Scored> scored;
    for (auto const& other : others) {
        if (other.id == self.id)
            continue;
        int const distance = other.failure_domain == self.failure_domain ? 0 : other.region == self.region ? 1
                                                                                                           : 2;
        scored.push_back({ distance, Core::stable_hash(self.id, other.id), other.id });
    }
    auto const wanted = std::min(count + extra_count, scored.size());
    auto const closest_count = wanted / 2;
    auto by_distance = [](Scored const& a, Scored const& b) { return std::pair(a.distance, a.score) < std::pair(b.distance, b.score); };
    std::sort(scored.begin(), scored.end(), by_distance);
    std::vector<std::string> chosen;
    for (size_t i = 0; i < closest_count; ++i)
        chosen.push_back(scored[i].id);
    std::sort(scored.begin() + static_cast<ptrdiff_t>(closest_count), scored.end(), [](auto const& a, auto const& b) { return a.score < b.score; });
    for (size_t i = closest_count; i < wanted; ++i)
        chosen.push_back(scored[i].id);
    return chosen;
}

}
