// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/SharedRetryBudget.h>

#include <algorithm>

namespace Routing {

static constexpr Core::Duration count_interval { 1000 };
// A request and its retries may be counted in different windows, so only this part of the ratio is spent.
static constexpr double usable_ratio_fraction = 0.75;
static constexpr double usable_slack_fraction = 0.8;
// An entry that has just started may have spent its share before it was restarted, and has no record of that. What it spends in its
// first window comes in addition. The limit has room for both: 0.75 of the ratio, applied to the requests of up to eleven seconds, plus
// 0.15; and 0.8 of the slack, plus 0.1 for each of two restarts.
static constexpr double usable_ratio_fraction_after_start = 0.15;
static constexpr double usable_slack_fraction_after_start = 0.1;
// Within this time after its start an entry learns of the other entries, if there are any. Until then it would use the slack of all
// entries, so it uses a slack of at most one retry.
static constexpr Core::Duration discovery_time { 2000 };

SharedRetryBudget::SharedRetryBudget(RetryLimit limit, Core::Time now)
    : m_limit(limit)
    , m_started(now)
{
}

void SharedRetryBudget::set_entries(size_t count)
{
    m_entries = std::max(m_entries, count);
}

SharedRetryBudget::SecondCounts& SharedRetryBudget::current_counts(std::string const& service, Core::Time now)
{
    auto& counts = m_services[service];
    auto const second = now / count_interval * count_interval;
    while (!counts.empty() && counts.front().second + m_limit.window + count_interval < now)
        counts.pop_front();
    if (counts.empty() || counts.back().second != second)
        counts.push_back({ second, 0, 0 });
    return counts.back();
}

void SharedRetryBudget::on_request(std::string const& service, Core::Time now)
{
    current_counts(service, now).requests += 1;
}

double SharedRetryBudget::remaining_retries(std::string const& service, Core::Time now)
{
    current_counts(service, now);
    double requests = 0;
    double retries = 0;
    for (auto const& counts : m_services[service]) {
        requests += counts.requests;
        retries += counts.retries;
    }
    bool const is_in_first_window = now < m_started + m_limit.window;
    bool const has_discovered_entries = m_entries > 1 || now >= m_started + discovery_time;
    double const ratio = m_limit.ratio * (is_in_first_window ? usable_ratio_fraction_after_start : usable_ratio_fraction);
    double const slack = m_limit.slack * (is_in_first_window ? usable_slack_fraction_after_start : usable_slack_fraction) / static_cast<double>(m_entries);
    return ratio * requests + (has_discovered_entries ? slack : std::min(slack, 1.0)) - retries;
}

bool SharedRetryBudget::has_remaining(std::string const& service, Core::Time now)
{
    return remaining_retries(service, now) >= 1;
}

bool SharedRetryBudget::try_spend(std::string const& service, Core::Time now)
{
    if (!has_remaining(service, now))
        return false;
    current_counts(service, now).retries += 1;
    return true;
}

}
