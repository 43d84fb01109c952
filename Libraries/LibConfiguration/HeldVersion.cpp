// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/HeldVersion.h>

#include <algorithm>

namespace Configuration {

int64_t highest_complete_version(std::vector<Schema::HeldLayers> held, int64_t layers)
{
    std::sort(held.begin(), held.end(), [](auto const& a, auto const& b) { return std::pair(a.version, a.first_layer) < std::pair(b.version, b.first_layer); });
    int64_t best = 0;
    int64_t version = 0;
    int64_t next_layer = 0;
    for (auto const& part : held) {
        if (part.version != version) {
            version = part.version;
            next_layer = 0;
        }
        if (part.first_layer <= next_layer)
            next_layer = std::max(next_layer, part.end_layer);
        if (next_layer >= layers)
            best = std::max(best, version);
    }
    return best;
}

}
