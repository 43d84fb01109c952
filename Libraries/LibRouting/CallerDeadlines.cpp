// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/CallerDeadlines.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace Routing {

// Some ten seconds of requests on a busy route: enough to still hold the timeouts that callers started with before an outage.
static constexpr size_t remembered = 128;
// Wait times that differ by at most this come from the same timeout: connecting to the entry takes a part of the time.
static constexpr Core::Duration same_patience { 40 };
// A wait time is common if at least one in `common_part` of the recent ones equals it. During an outage up to nine in ten requests are
// retries, whose remaining times are spread out; callers with an unusually long timeout are fewer than one in ten.
static constexpr size_t common_part = 10;
static constexpr size_t least_common = 3;
// A timeout that many callers share shows as a step in the distribution: within one span of `same_patience` there are more than
// twice as many wait times as within the next four spans together.
static constexpr int64_t shorter_spans = 4;
static constexpr int64_t least_step = 2;

bool CallerDeadlines::stands_out(std::vector<Core::Duration> const& longest_first, size_t first)
{
    auto const longest = longest_first[first];
    auto const count_down_to = [&](Core::Duration shortest) {
        return std::count_if(longest_first.begin() + static_cast<ptrdiff_t>(first), longest_first.end(), [&](auto deadline) { return deadline >= shortest; });
    };
    auto const as_long = count_down_to(longest - same_patience);
    auto const shorter = count_down_to(longest - same_patience * (1 + shorter_spans)) - as_long;
    return as_long > shorter * least_step;
}

Core::Duration CallerDeadlines::usual(std::deque<Core::Duration> const& recent)
{
    std::vector<Core::Duration> sorted(recent.begin(), recent.end());
    std::sort(sorted.begin(), sorted.end(), std::greater<>());
    auto const wanted = std::max(least_common, recent.size() / common_part);
    for (size_t first = 0; first + wanted <= sorted.size(); ++first) {
        if (sorted[first] - sorted[first + wanted - 1] <= same_patience)
            return stands_out(sorted, first) ? sorted[first] : Core::Duration(0);
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
