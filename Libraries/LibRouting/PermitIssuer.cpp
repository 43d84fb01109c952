// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/PermitIssuer.h>

#include <algorithm>
#include <utility>

namespace Routing {

// The bucket holds the tokens of this time, but at least one.
static constexpr double max_burst_seconds = 0.25;
static constexpr Core::Duration request_lifetime { 500 };
static constexpr double milliseconds_per_second = 1000;

PermitIssuer::PermitIssuer(double per_second, Core::Time now)
    : m_per_second(std::max(min_permits_per_second, per_second))
    , m_refilled_at(now)
{
}

void PermitIssuer::set_limit(double per_second, Core::Time now)
{
    refill(now);
    m_per_second = std::max(min_permits_per_second, per_second);
}

void PermitIssuer::refill(Core::Time now)
{
    auto const seconds = static_cast<double>((now - std::exchange(m_refilled_at, now)).count()) / milliseconds_per_second;
    auto const capacity = std::max(1.0, m_per_second * max_burst_seconds);
    m_tokens = std::min(capacity, m_tokens + seconds * m_per_second);
}

void PermitIssuer::request(std::string const& entry, int64_t count, Core::Time now)
{
    auto const known = std::find_if(m_requests.begin(), m_requests.end(), [&](auto const& request) { return request.entry == entry; });
    if (known == m_requests.end())
        m_requests.push_back({ entry, count, now });
    else
        *known = { entry, count, now };
}

void PermitIssuer::remove(std::string const& entry)
{
    std::erase_if(m_requests, [&](auto const& request) { return request.entry == entry; });
}

std::map<std::string, int64_t> PermitIssuer::issue(Core::Time now)
{
    refill(now);
    std::erase_if(m_requests, [&](auto const& request) { return request.count <= 0 || now - request.requested_at > request_lifetime; });
    std::map<std::string, int64_t> issued;
    while (m_tokens >= 1 && !m_requests.empty()) {
        auto request = std::move(m_requests.front());
        m_requests.pop_front();
        m_tokens -= 1;
        issued[request.entry] += 1;
        if (--request.count > 0)
            m_requests.push_back(std::move(request));
    }
    return issued;
}

}
