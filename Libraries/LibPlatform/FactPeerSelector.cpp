// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/FactPeerSelector.h>

#include <algorithm>

namespace Platform {

using Configuration::FactTopic;

// An entry needs a second to decode a configuration of a thousand routes, and each further answer costs the same again.
static constexpr size_t max_requests_at_once = 3;
// The operator's records have the shortest deadline, and the log may be unreachable from the whole region. So one instance of another
// region is asked right away.
static constexpr size_t max_same_region_for_configuration = max_requests_at_once - 1;
// A single late list is made up for by the instances of this region; after this many failures none of them may be able to read it.
static constexpr int failures_before_other_regions = 3;
// An instance that is behind for this long has a read that hangs. Before that, its own read is about to return what the others have.
static constexpr Core::Duration min_lag_same_region { 400 };
// By then the instances of this region have been asked, if any of them had read further.
static constexpr Core::Duration min_lag_other_region { 1500 };

/// Appends identities in turn, starting at `next`, until `to` holds `most` of them.
static void append_in_turn(std::vector<std::string> const& from, size_t& next, size_t most, std::vector<std::string>& to)
{
    for (size_t i = 0; i < from.size() && to.size() < most; ++i)
        to.push_back(from[next++ % from.size()]);
}

std::vector<std::string> FactPeerSelector::on_read_failed(FactTopic topic, std::vector<Peer> const& peers)
{
    m_failures[topic] += 1;
    std::vector<std::string> same_region;
    std::vector<std::string> other_regions;
    for (auto const& peer : peers)
        (peer.distance == Distance::SameRegion ? same_region : other_regions).push_back(peer.identity);
    std::vector<std::string> selected;
    if (same_region.empty() || should_request_from_other_regions()) {
        append_in_turn(same_region, m_next_same_region, max_same_region_for_configuration, selected);
        append_in_turn(other_regions, m_next_other_region, max_requests_at_once, selected);
    } else {
        append_in_turn(same_region, m_next_same_region, max_requests_at_once, selected);
    }
    return selected;
}

bool FactPeerSelector::should_request_from_other_regions() const
{
    auto const list = m_failures.find(FactTopic::BackendServers);
    bool const is_list_unreadable = list != m_failures.end() && list->second >= failures_before_other_regions;
    return is_list_unreadable || m_failures.contains(FactTopic::Configuration);
}

bool FactPeerSelector::should_request_from_linked(Distance distance) const
{
    return distance == Distance::SameRegion ? !m_failures.empty() : should_request_from_other_regions();
}

bool FactPeerSelector::should_request_from_newer(Distance distance, Core::Duration behind_for)
{
    return behind_for >= (distance == Distance::SameRegion ? min_lag_same_region : min_lag_other_region);
}

}
