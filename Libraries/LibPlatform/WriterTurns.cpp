// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/WriterTurns.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <utility>

namespace Platform {

static constexpr size_t writers = 2;
static constexpr size_t fallback_writers = 3;
static constexpr Core::Duration fallback_interval { 1500 };

bool should_write_record(std::string const& key, std::string const& identity, std::vector<std::string> others, Core::Duration known_for)
{
    others.push_back(identity);
    auto const ranked = Core::rendezvous_order(key, std::move(others));
    auto const rank = static_cast<size_t>(std::find(ranked.begin(), ranked.end(), identity) - ranked.begin());
    if (rank < writers)
        return true;
    return rank < writers + fallback_writers && known_for >= fallback_interval * static_cast<int64_t>(rank - writers + 1);
}

}
