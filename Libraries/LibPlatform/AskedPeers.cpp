// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/AskedPeers.h>

#include <algorithm>

namespace Platform {

using Configuration::FactTopic;

// An entry needs a second to decode a configuration of a thousand routes, and each further answer costs the same again.
static constexpr size_t asked_at_once = 3;
// The operator's records have the shortest deadline, and the log may be unreachable from the whole region. So one instance of another
// region is asked right away.
static constexpr size_t most_near_for_configuration = asked_at_once - 1;
// A single late list is made up for by the instances of this region; after this many failures none of them may be able to read it.
static constexpr int failures_of_a_region = 3;
// An instance that is behind for this long has a read that hangs. Before that, its own read is about to return what the others have.
static constexpr Core::Duration behind_patience { 400 };
// By then the instances of this region have been asked, if any of them had read further.
static constexpr Core::Duration behind_patience_far { 1500 };

/// Appends identities in turn, starting at `next`, until `to` holds `most` of them.
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
