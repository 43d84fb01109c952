// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RefusedRequests.h>

#include <algorithm>
#include <utility>

namespace Routing {

// How far two values for the end of the same caller's wait may differ, because of network delays from the caller to the entries and
// between the entries.
static constexpr Core::Duration same_deadline { 150 };
static constexpr size_t most_refused = 4096;

void RefusedRequests::forget_ended(Core::Time now)
{
    std::erase_if(m_refused, [now](auto const& entry) { return now >= entry.second.deadline; });
}

void RefusedRequests::add(RefusedRequest refused, Core::Time now)
{
    if (now >= refused.deadline)
        return;
    if (m_refused.size() >= most_refused)
        forget_ended(now);
    if (m_refused.size() >= most_refused)
        return;
    auto digest = refused.digest;
    m_refused.emplace(std::move(digest), std::move(refused));
}

std::optional<Core::Time> RefusedRequests::take(std::string const& digest, Core::Time deadline, Core::Time now)
{
    auto const [begin, end] = m_refused.equal_range(digest);
    for (auto entry = begin; entry != end; ++entry) {
        auto const apart = entry->second.deadline - deadline;
        if (apart > same_deadline || apart < -same_deadline)
            continue;
        auto const first_asked = std::min(entry->second.first_asked, now);
        m_refused.erase(entry);
        return first_asked;
    }
    return {};
}

}
