// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RefusedRequests.h>

#include <algorithm>
#include <utility>

namespace Routing {

// How far two values for the end of the same caller's wait may differ, because of network delays from the caller to the entries and
// between the entries.
static constexpr Core::Duration same_deadline_tolerance { 150 };
static constexpr size_t max_refused = 4096;

void RefusedRequests::remove_expired(Core::Time now)
{
    std::erase_if(m_refused, [now](auto const& entry) { return now >= entry.second.deadline; });
}

void RefusedRequests::add(RefusedRequest refused, Core::Time now)
{
    if (now >= refused.deadline)
        return;
    if (m_refused.size() >= max_refused)
        remove_expired(now);
    if (m_refused.size() >= max_refused)
        return;
    auto digest = refused.digest;
    m_refused.emplace(std::move(digest), std::move(refused));
}

std::optional<Core::Time> RefusedRequests::take_first_request_time(std::string const& digest, Core::Time deadline, Core::Time now)
{
    auto const [begin, end] = m_refused.equal_range(digest);
    for (auto entry = begin; entry != end; ++entry) {
        auto const difference = entry->second.deadline - deadline;
        if (difference > same_deadline_tolerance || difference < -same_deadline_tolerance)
            continue;
        auto const first_request_time = std::min(entry->second.first_request_time, now);
        m_refused.erase(entry);
        return first_request_time;
    }
    return {};
}

}
