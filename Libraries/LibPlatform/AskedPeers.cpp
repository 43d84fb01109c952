// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/AskedPeers.h>

#include <algorithm>

namespace Platform {

using Configuration::FactTopic;

// A configuration of a thousand routes takes an entry a second to read: each further answer costs as much again.
static constexpr size_t asked_at_once = 3;
// The operator's records have the shortest bound, so the log may be away from the whole region: one far is asked at once.
static constexpr size_t most_near_for_configuration = asked_at_once - 1;
// One list that is late is made up for by those near; after this many nobody near may be able to read it.
static constexpr int failures_of_a_region = 3;
// An instance that is behind for this long has a read that hangs; before, its own read is about to bring what others have.
static constexpr Core::Duration behind_patience { 400 };
// By then those near would have been asked, had they read further.
static constexpr Core::Duration behind_patience_far { 1500 };

/// Adds identities in turn, until there are so many.
static void add_in_turn(std::vector<std::string> const& from, size_t& next, size_t most, std::vector<std::string>& to)
{
    for (size_t i = 0; i < from.size() && to.size() < most; ++i)
        to.push_back(from[next++ % from.size()]);
}

std::vector<std::string> AskedPeers::on_failing(FactTopic topic, std::vector<Peer> const& peers)
{
    m_failures[topic] += 1;
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (auto const& peer : peers)
        (peer.distance == Distance::Near ? near : far).push_back(peer.identity);
    std::vector<std::string> asked;
    if (near.empty() || are_far_asked()) {
        add_in_turn(near, m_next_near, most_near_for_configuration, asked);
        add_in_turn(far, m_next_far, asked_at_once, asked);
    } else {
        add_in_turn(near, m_next_near, asked_at_once, asked);
    }
    return asked;
}

bool AskedPeers::are_far_asked() const
{
    auto const list = m_failures.find(FactTopic::BackendServers);
    bool const is_list_away = list != m_failures.end() && list->second >= failures_of_a_region;
    return is_list_away || m_failures.contains(FactTopic::Configuration);
}

bool AskedPeers::may_ask_linked(Distance distance) const
{
    return distance == Distance::Near ? !m_failures.empty() : are_far_asked();
}

bool AskedPeers::may_ask_ahead(Distance distance, Core::Duration behind_for)
{
    return behind_for >= (distance == Distance::Near ? behind_patience : behind_patience_far);
}

}
