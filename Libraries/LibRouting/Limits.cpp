// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/Limits.h>

#include <algorithm>
#include <cmath>

namespace Routing {

static constexpr Core::Duration concurrency_retry_after { 200 };
static constexpr Core::Duration unknown_customer_retry_after { 60000 };

TokenBucket::TokenBucket(double per_second, double burst)
    : m_per_second(per_second)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void TokenBucket::set(double per_second, double burst)
{
    bool const was_unset = m_burst == 0;
    m_per_second = per_second;
    m_burst = burst;
    m_tokens = was_unset ? burst : std::min(m_tokens, burst);
}

void TokenBucket::refill(Core::Time now)
{
    if (m_refilled_at && now > *m_refilled_at) {
        auto const seconds = static_cast<double>((now - *m_refilled_at).count()) / 1000;
        m_tokens = std::min(m_burst, m_tokens + seconds * m_per_second);
    }
    if (!m_refilled_at || now > *m_refilled_at)
        m_refilled_at = now;
}

double TokenBucket::available(Core::Time now)
{
    refill(now);
    return m_tokens;
}

bool TokenBucket::try_acquire(double tokens, Core::Time now)
{
    refill(now);
    if (m_tokens < tokens)
        return false;
    m_tokens -= tokens;
    return true;
}

void TokenBucket::release(double tokens)
{
    m_tokens = std::min(m_burst, m_tokens + tokens);
}

Core::Duration TokenBucket::time_until_available(double tokens, Core::Time now)
{
    refill(now);
    if (m_tokens >= tokens)
        return Core::Duration(0);
    if (m_per_second <= 0)
        return unknown_customer_retry_after;
    return Core::Duration(static_cast<int64_t>(std::ceil((tokens - m_tokens) / m_per_second * 1000)));
}

void CustomerLimits::set_customers(std::map<std::string, Schema::CustomerSpec> const& customers)
{
    m_has_configured_customers = !customers.empty();
    for (auto& [name, state] : m_customers)
        state.is_configured = false;
    for (auto const& [name, spec] : customers) {
        auto& state = m_customers[name];
        state.spec = spec;
        state.is_configured = true;
        apply_share(state);
    }
    // A customer that was removed from the configuration is kept while it has requests in flight.
    std::erase_if(m_customers, [&](auto const& entry) { return !customers.contains(entry.first) && entry.second.in_flight == 0; });
}

void CustomerLimits::set_share(std::string const& customer, double share)
{
    auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return;
    found->second.share = share;
    apply_share(found->second);
}

void CustomerLimits::apply_share(State& state)
{
    // With a burst below one request, no request would ever be admitted.
    state.bucket.set(state.spec.requests_per_second * state.share, std::max(1.0, state.spec.burst * state.share));
}

size_t CustomerLimits::concurrency_share(State const& state)
{
    return static_cast<size_t>(std::ceil(static_cast<double>(state.spec.concurrency) * state.share));
}

std::optional<CustomerLimits::Refusal> CustomerLimits::start(std::string const& customer, Core::Time now)
{
    if (!m_has_configured_customers) {
        m_customers[customer].in_flight += 1;
        return {};
    }
    auto found = m_customers.find(customer);
    if (found == m_customers.end() || !found->second.is_configured)
        return Refusal { Schema::Reason::NoSuchCustomer, unknown_customer_retry_after };
    auto& state = found->second;
    if (state.in_flight >= concurrency_share(state))
        return Refusal { Schema::Reason::OverConcurrency, concurrency_retry_after };
    if (!state.bucket.try_acquire(1, now))
        return Refusal { Schema::Reason::OverRate, state.bucket.time_until_available(1, now) };
    state.in_flight += 1;
    return {};
}

void CustomerLimits::finish(std::string const& customer)
{
    auto found = m_customers.find(customer);
    if (found != m_customers.end() && found->second.in_flight > 0)
        found->second.in_flight -= 1;
}

size_t CustomerLimits::in_flight(std::string const& customer) const
{
    auto found = m_customers.find(customer);
    return found == m_customers.end() ? 0 : found->second.in_flight;
}

RetryBudget::RetryBudget(double ratio)
    : m_ratio(ratio)
{
}

void RetryBudget::on_request()
{
    m_saved_retries = std::min(max_saved_retries, m_saved_retries + m_ratio);
}

bool RetryBudget::try_acquire()
{
    if (m_saved_retries < 1)
        return false;
    m_saved_retries -= 1;
    return true;
}

Core::Duration spread_retry_after(Core::Duration base, std::mt19937_64& random)
{
    auto const min_wait = std::max<int64_t>(1, base.count());
    std::uniform_int_distribution<int64_t> wait(min_wait, 2 * min_wait);
    return Core::Duration(wait(random));
}

}
