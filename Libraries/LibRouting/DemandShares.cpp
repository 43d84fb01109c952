// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/DemandShares.h>

#include <algorithm>

namespace Routing {

static constexpr double smoothing = 0.4;
static constexpr double least_kept_per_second = 0.01;
// Added to the demand of every entry, so that a customer who switches to another entry finds a part of the limit there.
static constexpr double base_per_second = 1;
static constexpr size_t most_told = 16;
static constexpr Core::Duration heard_lifetime { 5000 };

void DemandShares::on_offered(std::string const& customer)
{
    m_offered[customer] += 1;
}

void DemandShares::end_interval()
{
    auto const seconds = static_cast<double>(interval.count()) / 1000;
    for (auto const& [customer, count] : m_offered)
        m_per_second.try_emplace(customer, 0);
    for (auto& [customer, rate] : m_per_second) {
        auto const found = m_offered.find(customer);
        double const now = found == m_offered.end() ? 0 : found->second / seconds;
        rate += smoothing * (now - rate);
    }
    std::erase_if(m_per_second, [](auto const& entry) { return entry.second < least_kept_per_second; });
    m_offered.clear();
}

std::vector<Schema::Demand> DemandShares::own() const
{
    std::vector<Schema::Demand> demands;
    for (auto const& [customer, rate] : m_per_second) {
        Schema::Demand demand;
        demand.customer = customer;
        demand.per_second = rate;
        demands.push_back(std::move(demand));
    }
    std::sort(demands.begin(), demands.end(), [](auto const& a, auto const& b) { return a.per_second > b.per_second; });
    demands.resize(std::min(demands.size(), most_told));
    return demands;
}

void DemandShares::on_heard(std::string const& entry, std::vector<Schema::Demand> const& demands, Core::Time now)
{
    auto& heard = m_heard[entry];
    heard.at = now;
    heard.per_second.clear();
    for (auto const& demand : demands)
        heard.per_second[demand.customer] = std::max(0.0, demand.per_second);
}

double DemandShares::share(std::string const& customer, size_t live_entries, Core::Time now) const
{
    auto const own = m_per_second.find(customer);
    double const own_demand = base_per_second + (own == m_per_second.end() ? 0 : own->second);
    double total = own_demand;
    size_t known = 1;
    for (auto const& [entry, heard] : m_heard) {
        if (now >= heard.at + heard_lifetime)
            continue;
        known += 1;
        auto const demand = heard.per_second.find(customer);
        total += base_per_second + (demand == heard.per_second.end() ? 0 : demand->second);
    }
    auto const entries = std::max(live_entries, known);
    auto const divided = static_cast<double>(known) / static_cast<double>(entries);
    return divided * own_demand / total;
}

}
