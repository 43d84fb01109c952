// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RequestQueue.h>

#include <algorithm>

namespace Routing {

// Weight of a new value in the moving averages.
static constexpr double smoothing_weight = 0.05;
// Limits a measured interval between completions: a time without requests says nothing about how fast the service is.
static constexpr double max_completion_interval_ms = 5000;

RequestQueue::RequestQueue(size_t limit)
    : m_limit(limit)
{
}

size_t RequestQueue::count_ahead_of(int priority) const
{
    size_t ahead = 0;
    for (auto const& [level, state] : m_levels) {
        if (level <= priority)
            ahead += state.size;
    }
    return ahead;
}

Core::Duration RequestQueue::expected_wait(int priority) const
{
    return Core::Duration(static_cast<int64_t>(m_mean_completion_interval_ms * static_cast<double>(count_ahead_of(priority) + 1)));
}

RequestQueue::PushResult RequestQueue::push(uint64_t request, std::string const& customer, int priority, Core::Time deadline, Core::Time now)
{
    if (m_positions.size() >= m_limit)
        return PushResult::Full;
    if (now + expected_wait(priority) + expected_service() >= deadline)
        return PushResult::TooLate;
    auto& level = m_levels[priority];
    auto& waiting = level.by_customer[customer];
    if (waiting.empty())
        level.turns.push_back(customer);
    waiting.push_back(request);
    level.size += 1;
    m_positions[request] = { priority, customer };
    return PushResult::Queued;
}

void RequestQueue::remove(uint64_t request)
{
    auto found = m_positions.find(request);
    if (found == m_positions.end())
        return;
    auto const [priority, customer] = found->second;
    m_positions.erase(found);
    auto& level = m_levels[priority];
    auto& waiting = level.by_customer[customer];
    std::erase(waiting, request);
    level.size -= 1;
    if (waiting.empty()) {
        level.by_customer.erase(customer);
        std::erase(level.turns, customer);
    }
}

void RequestQueue::offer(std::function<bool(uint64_t)> const& start)
{
    for (auto& [priority, level] : m_levels) {
        size_t declined = 0;
        while (declined < level.turns.size()) {
            auto const customer = level.turns.front();
            auto const request = level.by_customer.at(customer).front();
            level.turns.pop_front();
            level.turns.push_back(customer);
            if (!start(request)) {
                declined += 1;
                continue;
            }
            declined = 0;
            remove(request);
        }
    }
}

Core::Duration RequestQueue::expected_service() const
{
    return Core::Duration(static_cast<int64_t>(m_mean_service_ms));
}

void RequestQueue::on_completed(Core::Time now, Core::Duration duration)
{
    auto const service = static_cast<double>(duration.count());
    m_mean_service_ms = m_mean_service_ms == 0 ? service : (1 - smoothing_weight) * m_mean_service_ms + smoothing_weight * service;
    m_completed_at_same_time += 1;
    if (!m_last_completed) {
        m_last_completed = now;
        m_completed_at_same_time = 0;
        return;
    }
    auto const elapsed = static_cast<double>((now - *m_last_completed).count());
    if (elapsed <= 0)
        return;
    double const gap = std::min(max_completion_interval_ms, elapsed / static_cast<double>(m_completed_at_same_time));
    m_mean_completion_interval_ms = m_mean_completion_interval_ms == 0 ? gap : (1 - smoothing_weight) * m_mean_completion_interval_ms + smoothing_weight * gap;
    m_last_completed = now;
    m_completed_at_same_time = 0;
}

}
