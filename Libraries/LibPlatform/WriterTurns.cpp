// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/WriterTurns.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <utility>

namespace Platform {

static constexpr size_t writers = 2;
static constexpr size_t stand_ins = 3;
static constexpr Core::Duration stand_in_interval { 1500 };

bool is_turn_to_write(std::string const& key, std::string const& identity, std::vector<std::string> others, Core::Duration known_for)
{
    others.push_back(identity);
    auto const ranked = Core::rendezvous_order(key, std::move(others));
    auto const rank = static_cast<size_t>(std::find(ranked.begin(), ranked.end(), identity) - ranked.begin());
    if (rank < writers)
        return true;
    return rank < writers + stand_ins && known_for >= stand_in_interval * static_cast<int64_t>(rank - writers + 1);
}

}
