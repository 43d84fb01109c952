// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/FirstRequestEstimator.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace Routing {

// Some ten seconds of requests on a busy route: enough to still hold the timeouts that callers started with before an outage.
static constexpr size_t max_recent_requests = 128;
// Wait times that differ by at most this come from the same timeout: connecting to the entry takes a part of the time.
static constexpr Core::Duration same_timeout_tolerance { 40 };
// A wait time is common if at least one in `common_fraction` of the recent ones equals it. During an outage up to nine in ten requests are
// retries, whose remaining times are spread out; callers with an unusually long timeout are fewer than one in ten.
static constexpr size_t common_fraction = 10;
static constexpr size_t min_common = 3;
// A timeout that many callers share shows as a step in the distribution: within one span of `same_timeout_tolerance` there are more than
// twice as many wait times as within the next four spans together.
static constexpr int64_t shorter_span_count = 4;
static constexpr int64_t min_step_ratio = 2;

bool FirstRequestEstimator::stands_out(std::vector<Core::Duration> const& longest_first, size_t first)
{
    auto const longest = longest_first[first];
    auto const count_down_to = [&](Core::Duration shortest) {
        return std::count_if(longest_first.begin() + static_cast<ptrdiff_t>(first), longest_first.end(), [&](auto wait_time) { return wait_time >= shortest; });
    };
    auto const equal_count = count_down_to(longest - same_timeout_tolerance);
    auto const shorter_count = count_down_to(longest - same_timeout_tolerance * (1 + shorter_span_count)) - equal_count;
    return equal_count > shorter_count * min_step_ratio;
}

Core::Duration FirstRequestEstimator::usual_timeout(std::deque<Core::Duration> const& recent)
{
    std::vector<Core::Duration> sorted(recent.begin(), recent.end());
    std::sort(sorted.begin(), sorted.end(), std::greater<>());
    auto const required_count = std::max(min_common, recent.size() / common_fraction);
    for (size_t first = 0; first + required_count <= sorted.size(); ++first) {
        if (sorted[first] - sorted[first + required_count - 1] <= same_timeout_tolerance)
            return stands_out(sorted, first) ? sorted[first] : Core::Duration(0);
    }
    return Core::Duration(0);
}

Core::Duration FirstRequestEstimator::time_since_first_request(std::string const& route, Core::Duration wait_time)
{
    auto& recent = m_recent[route];
    recent.push_back(wait_time);
    if (recent.size() > max_recent_requests)
        recent.pop_front();
    auto const waited_before = usual_timeout(recent) - wait_time;
    return waited_before > same_timeout_tolerance ? waited_before : Core::Duration(0);
}

}
