// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/EngineControl.h>

#include <algorithm>

namespace Distribution {

// Fences grow with the configuration offset. This many are left between two offsets for further orders at the same offset.
static constexpr int64_t fences_per_offset = 1 << 16;
static constexpr Core::Duration order_retry { 1000 };

void EngineControl::set_wanted(std::optional<Schema::Weights> weights, int64_t offset)
{
    m_offset = std::max(m_offset, offset);
    m_wanted = std::move(weights);
    if (!m_wanted)
        m_is_draining_for_switch = false;
}

void EngineControl::set_complete(std::string const& digest, bool is_complete)
{
    if (is_complete)
        m_complete_digest = digest;
    else if (m_complete_digest == digest)
        m_complete_digest.clear();
}

void EngineControl::on_status(Schema::EngineStatus const& status, Core::Time sent_at)
{
    // A status that was requested before the last order was answered may not show the order's effect.
    if (m_order_in_flight || sent_at < m_order_answered_at)
        return;
    m_status = status;
    m_fence = std::max(m_fence, status.fence);
    bool const has_settled = !status.loading;
    if (has_settled)
        m_is_order_outcome_unknown = false;
}

void EngineControl::on_unreachable()
{
    // The engine may return as a new process with nothing loaded.
    m_status.reset();
}

void EngineControl::on_order_answered(int64_t fence, bool is_accepted, Core::Time now)
{
    if (fence != m_fence)
        return;
    m_order_in_flight = false;
    m_is_draining_for_switch = false;
    m_order_answered_at = now;
    m_next_order_at = now + order_retry;
    m_status.reset();
    if (is_accepted)
        return;
    m_is_order_outcome_unknown = true;
    m_failed_orders += 1;
}

std::optional<Schema::Weights> EngineControl::serving() const
{
    if (!m_status || m_order_in_flight || m_is_order_outcome_unknown || m_status->loading || !m_status->serving)
        return {};
    auto const& reported = *m_status->serving;
    Schema::Weights weights;
    weights.model = reported.model;
    weights.version = reported.version;
    weights.digest = reported.digest;
    return weights;
}

bool EngineControl::is_ready() const
{
    auto const now_serving = serving();
    return m_wanted && now_serving && now_serving->digest == m_wanted->digest && now_serving->model == m_wanted->model && now_serving->version == m_wanted->version;
}

std::optional<EngineControl::Order> EngineControl::step(Core::Time now, size_t in_flight, bool may_switch)
{
    bool const are_wanted_chunks_complete = m_wanted && m_complete_digest == m_wanted->digest;
    if (!are_wanted_chunks_complete || m_order_in_flight || now < m_next_order_at)
        return {};
    // Without a status the engine's highest fence is not known, and the engine could refuse the order as an outdated one.
    if (!m_status || m_status->loading || is_ready())
        return {};
    bool const serves_something = m_status->serving.has_value();
    if (serves_something && !may_switch) {
        m_is_draining_for_switch = false;
        return {};
    }
    m_is_draining_for_switch = true;
    if (in_flight > 0)
        return {};
    m_fence = std::max(m_fence + 1, m_offset * fences_per_offset);
    m_order_in_flight = true;
    return Order { m_fence, *m_wanted };
}

bool may_switch(std::string const& self, std::vector<std::string> const& ranked, std::vector<std::string> const& ready, size_t max_switching)
{
    size_t not_ready = 0;
    for (auto const& id : ranked) {
        if (id == self)
            return not_ready < max_switching;
        if (std::find(ready.begin(), ready.end(), id) == ready.end())
            not_ready += 1;
    }
    // An instance that is not ranked keeps serving until all ranked instances are ready.
    return not_ready == 0;
}

size_t max_instances_switching(size_t replicas)
{
    return std::max<size_t>(1, replicas / 4);
}

}
