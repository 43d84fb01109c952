// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/CallerDeadlines.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace Routing {

// Some ten seconds of a busy route: long enough to remember what callers started with before an outage.
static constexpr size_t remembered = 128;
// Deadlines that differ by less are the same patience: a new connection has used some of it.
static constexpr Core::Duration same_patience { 40 };
// A deadline is common from this part of the recent ones on. During an outage up to nine in ten are later tries, whose
// deadlines lie apart; callers of unusual patience are fewer than that.
static constexpr size_t common_part = 10;
static constexpr size_t least_common = 3;

Core::Duration CallerDeadlines::usual(std::deque<Core::Duration> const& recent)
{
    std::vector<Core::Duration> sorted(recent.begin(), recent.end());
    std::sort(sorted.begin(), sorted.end(), std::greater<>());
    auto const wanted = std::max(least_common, recent.size() / common_part);
    for (size_t first = 0; first + wanted <= sorted.size(); ++first) {
        if (sorted[first] - sorted[first + wanted - 1] <= same_patience)
            return sorted[first];
    }
    return Core::Duration(0);
}

Core::Duration CallerDeadlines::on_request(std::string const& route, Core::Duration deadline)
{
    auto& recent = m_recent[route];
    recent.push_back(deadline);
    if (recent.size() > remembered)
        recent.pop_front();
    auto const spent = usual(recent) - deadline;
    return spent > same_patience ? spent : Core::Duration(0);
}

}
