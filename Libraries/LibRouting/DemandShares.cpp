// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/DemandShares.h>

#include <algorithm>

namespace Routing {

static constexpr double smoothing = 0.4;
static constexpr double min_kept_per_second = 0.01;
// Added to the demand of every entry, so that a customer who switches to another entry finds a part of the limit there.
static constexpr double base_per_second = 1;
static constexpr size_t max_announced_customers = 16;
static constexpr Core::Duration peer_demand_lifetime { 5000 };

void DemandShares::on_request_offered(std::string const& customer)
{
    m_requests[customer] += 1;
}

void DemandShares::end_interval()
{
    auto const seconds = static_cast<double>(interval.count()) / 1000;
    for (auto const& [customer, count] : m_requests)
        m_per_second.try_emplace(customer, 0);
    for (auto& [customer, rate] : m_per_second) {
        auto const found = m_requests.find(customer);
        double const now = found == m_requests.end() ? 0 : found->second / seconds;
        rate += smoothing * (now - rate);
    }
    std::erase_if(m_per_second, [](auto const& entry) { return entry.second < min_kept_per_second; });
    m_requests.clear();
}

std::vector<Schema::Demand> DemandShares::local_demand() const
{
    std::vector<Schema::Demand> demands;
    for (auto const& [customer, rate] : m_per_second) {
        Schema::Demand demand;
        demand.customer = customer;
        demand.per_second = rate;
        demands.push_back(std::move(demand));
    }
    std::sort(demands.begin(), demands.end(), [](auto const& a, auto const& b) { return a.per_second > b.per_second; });
    demands.resize(std::min(demands.size(), max_announced_customers));
    return demands;
}

void DemandShares::on_peer_demand(std::string const& entry, std::vector<Schema::Demand> const& demands, Core::Time now)
{
    auto& peer = m_peers[entry];
    peer.received_at = now;
    peer.per_second.clear();
    for (auto const& demand : demands)
        peer.per_second[demand.customer] = std::max(0.0, demand.per_second);
}

double DemandShares::share(std::string const& customer, size_t live_entries, Core::Time now) const
{
    auto const found = m_per_second.find(customer);
    double const local_with_base = base_per_second + (found == m_per_second.end() ? 0 : found->second);
    double total = local_with_base;
    size_t known = 1;
    for (auto const& [entry, peer] : m_peers) {
        if (now >= peer.received_at + peer_demand_lifetime)
            continue;
        known += 1;
        auto const demand = peer.per_second.find(customer);
        total += base_per_second + (demand == peer.per_second.end() ? 0 : demand->second);
    }
    auto const entries = std::max(live_entries, known);
    auto const known_fraction = static_cast<double>(known) / static_cast<double>(entries);
    return known_fraction * local_with_base / total;
}

}
