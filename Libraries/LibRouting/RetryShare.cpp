// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RetryShare.h>

#include <algorithm>

namespace Routing {

static constexpr Core::Duration slot_length { 1000 };
// A request and its retries may be counted in different windows, so only this part of the ratio is spent.
static constexpr double spent_part_of_ratio = 0.75;
static constexpr double spent_part_of_slack = 0.8;
// An entry that has just started may have spent its share before it was restarted, and has no record of that. What it spends in its
// first window comes in addition. The limit has room for both: 0.75 of the ratio, applied to the requests of up to eleven seconds, plus
// 0.15; and 0.8 of the slack, plus 0.1 for each of two restarts.
static constexpr double fresh_part_of_ratio = 0.15;
static constexpr double fresh_part_of_slack = 0.1;
// Within this time after its start an entry learns of the other entries, if there are any. Until then it would use the slack of all
// entries, so it uses a slack of at most one retry.
static constexpr Core::Duration acquaintance { 2000 };

RetryShare::RetryShare(RetryBound bound, Core::Time now)
    : m_bound(bound)
    , m_started(now)
{
}

void RetryShare::set_entries(size_t count)
{
    m_entries = std::max(m_entries, count);
}

RetryShare::Slot& RetryShare::slot(std::string const& service, Core::Time now)
{
    auto& slots = m_services[service];
    auto const second = now / slot_length * slot_length;
    while (!slots.empty() && slots.front().second + m_bound.window + slot_length < now)
        slots.pop_front();
    if (slots.empty() || slots.back().second != second)
        slots.push_back({ second, 0, 0 });
    return slots.back();
}

void RetryShare::on_request(std::string const& service, Core::Time now)
{
    slot(service, now).requests += 1;
}

double RetryShare::left(std::string const& service, Core::Time now)
{
    slot(service, now);
    double requests = 0;
    double retries = 0;
    for (auto const& slot : m_services[service]) {
        requests += slot.requests;
        retries += slot.retries;
    }
    bool const is_fresh = now < m_started + m_bound.window;
    bool const knows_others = m_entries > 1 || now >= m_started + acquaintance;
    double const ratio = m_bound.ratio * (is_fresh ? fresh_part_of_ratio : spent_part_of_ratio);
    double const slack = m_bound.slack * (is_fresh ? fresh_part_of_slack : spent_part_of_slack) / static_cast<double>(m_entries);
    return ratio * requests + (knows_others ? slack : std::min(slack, 1.0)) - retries;
}

bool RetryShare::has_left(std::string const& service, Core::Time now)
{
    return left(service, now) >= 1;
}

bool RetryShare::try_spend(std::string const& service, Core::Time now)
{
    if (!has_left(service, now))
        return false;
    slot(service, now).retries += 1;
    return true;
}

}
