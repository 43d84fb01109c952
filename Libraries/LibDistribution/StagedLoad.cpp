// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/StagedLoad.h>

#include <LibConfiguration/HeldVersion.h>
#include <algorithm>
#include <utility>

namespace Distribution {

bool is_of_earlier_incarnation(Platform::EngineReport const& report, std::optional<Platform::EngineReport> const& last)
{
    return last && last->started_at_ms && report.started_at_ms && *report.started_at_ms < *last->started_at_ms;
}

StagedLoad::StagedLoad(int64_t version, size_t chunks, StagedLoadSettings settings)
    : m_version(version)
    , m_settings(settings)
    , m_chunks(chunks)
{
}

void StagedLoad::on_held(size_t chunk)
{
    m_chunks[chunk].is_held = true;
}

void StagedLoad::on_staged(size_t chunk, bool has_succeeded)
{
    auto& state = m_chunks[chunk];
    state.is_in_call = false;
    state.is_staged = has_succeeded;
    state.is_call_outdated = false;
    state.verified_at.reset();
    m_calls -= 1;
}

void StagedLoad::on_read_back(size_t chunk, bool is_correct, Core::Time now)
{
    auto& state = m_chunks[chunk];
    state.is_in_call = false;
    m_calls -= 1;
    // The staged chunk may have been lost when the engine restarted after the read-back was sent.
    if (std::exchange(state.is_call_outdated, false))
        return;
    if (is_correct) {
        state.verified_at = now;
        return;
    }
    state.verified_at.reset();
    state.is_staged = false;
    m_corrupt_count += 1;
}

void StagedLoad::on_report(Platform::EngineReport const& report, int64_t layers, Core::Time now)
{
    if (is_of_earlier_incarnation(report, m_report)) {
        on_unreachable();
        return;
    }
    if (is_restart(report))
        begin_incarnation();
    bool const has_order_wait_ended = m_order_wait_since && !report.is_busy && now - *m_order_wait_since >= m_settings.order_result_timeout;
    m_report = report;
    if (report.started_at_ms)
        m_started_at_ms = report.started_at_ms;
    // An engine that holds a newer version was ordered to load it by someone else. It is never ordered back to this older version.
    m_is_serving = Configuration::highest_complete_version(report.held, layers) >= m_version;
    if (m_is_serving || has_order_wait_ended)
        m_order_wait_since.reset();
}

bool StagedLoad::is_restart(Platform::EngineReport const& report) const
{
    if (m_started_at_ms && report.started_at_ms)
        return *m_started_at_ms != *report.started_at_ms;
    // If the engine reports no start time, a lower sequence number shows that it has restarted.
    bool const has_sequences = m_report && m_report->order_sequence && report.order_sequence;
    return has_sequences && *report.order_sequence < *m_report->order_sequence;
}

void StagedLoad::begin_incarnation()
{
    m_order_wait_since.reset();
    m_draining_since.reset();
    m_is_order_outdated = m_is_ordering;
    for (auto& chunk : m_chunks) {
        chunk.is_call_outdated = chunk.is_in_call;
        chunk.verified_at.reset();
    }
}

void StagedLoad::on_unreachable()
{
    m_report.reset();
    m_is_serving = false;
}

void StagedLoad::on_ordered(Platform::OrderOutcome outcome, Core::Time now)
{
    m_is_ordering = false;
    // The incarnation that the order was sent to has ended. If the new incarnation has accepted the order after all, its report shows that,
    // and its changed sequence number keeps the next order from taking effect as well.
    if (std::exchange(m_is_order_outdated, false))
        return;
    // After a refusal, only a newer report is needed for the next order.
    if (outcome == Platform::OrderOutcome::Refused) {
        m_order_wait_since.reset();
        m_report.reset();
        return;
    }
    // If there was no answer, the time spent waiting for it counts towards `order_result_timeout`.
    m_order_wait_since = outcome == Platform::OrderOutcome::Unknown ? m_order_sent_at : now;
}

bool StagedLoad::is_complete() const
{
    return std::all_of(m_chunks.begin(), m_chunks.end(), [](auto const& chunk) { return chunk.is_staged && !chunk.is_in_call; });
}

size_t StagedLoad::held_count() const
{
    return static_cast<size_t>(std::count_if(m_chunks.begin(), m_chunks.end(), [](auto const& chunk) { return chunk.is_held; }));
}

bool StagedLoad::stage_next(std::vector<LoadAction>& actions)
{
    for (size_t i = 0; i < m_chunks.size(); ++i) {
        auto& chunk = m_chunks[i];
        if (!chunk.is_held || chunk.is_staged || chunk.is_in_call)
            continue;
        chunk.is_in_call = true;
        m_calls += 1;
        actions.emplace_back(StageChunk { i });
        return true;
    }
    return false;
}

bool StagedLoad::read_back_next(Core::Time now, std::vector<LoadAction>& actions)
{
    for (size_t i = 0; i < m_chunks.size(); ++i) {
        auto& chunk = m_chunks[i];
        bool const is_correct = chunk.verified_at && now - *chunk.verified_at < m_settings.read_back_validity;
        if (is_correct || chunk.is_in_call)
            continue;
        chunk.is_in_call = true;
        chunk.read_back_sent_at = now;
        m_calls += 1;
        actions.emplace_back(ReadBackChunk { i });
        return true;
    }
    return false;
}

bool StagedLoad::are_all_read_back(Core::Time now) const
{
    return std::all_of(m_chunks.begin(), m_chunks.end(), [&](auto const& chunk) {
        return chunk.verified_at && now - *chunk.verified_at < m_settings.read_back_validity;
    });
}

std::optional<Core::Time> StagedLoad::oldest_read_back_sent_at() const
{
    if (!oldest_read_back_answered_at())
        return {};
    return std::min_element(m_chunks.begin(), m_chunks.end(), [](auto const& a, auto const& b) { return a.read_back_sent_at < b.read_back_sent_at; })->read_back_sent_at;
}

std::optional<Core::Time> StagedLoad::oldest_read_back_answered_at() const
{
    // An empty value compares less than any time.
    auto const oldest = std::min_element(m_chunks.begin(), m_chunks.end(), [](auto const& a, auto const& b) { return a.verified_at < b.verified_at; });
    return oldest == m_chunks.end() ? std::nullopt : oldest->verified_at;
}

std::optional<Platform::LoadMode> StagedLoad::load_mode(Core::Time now, SwitchPermissions const& permissions)
{
    bool const serves_something = !m_report->held.empty();
    if (!serves_something)
        return Platform::LoadMode::WaitForRunning;
    if (!permissions.may_switch && !m_draining_since)
        return {};
    if (!m_draining_since)
        m_draining_since = now;
    auto const drained_for = now - *m_draining_since;
    // Requests that entries sent before they received the message of the drain may still arrive.
    if (drained_for < m_settings.drain_notice_time)
        return {};
    auto const left = m_report->running + m_report->waiting;
    if (left == 0 || !permissions.may_evict)
        return Platform::LoadMode::WaitForRunning;
    auto const timeout = left <= m_settings.few_requests ? m_settings.few_requests_drain_timeout : m_settings.drain_timeout;
    if (drained_for < timeout)
        return {};
    return Platform::LoadMode::EvictRunning;
}

std::vector<LoadAction> StagedLoad::step(Core::Time now, SwitchPermissions permissions)
{
    std::vector<LoadAction> actions;
    bool has_more = true;
    while (has_more && m_calls < m_settings.max_calls_in_flight)
        has_more = stage_next(actions);
    bool const needs_load = m_report && !m_report->is_busy && !m_is_serving && !m_is_ordering && !m_order_wait_since && is_complete();
    if (!needs_load) {
        if (m_is_serving)
            m_draining_since.reset();
        return actions;
    }
    auto const allowed_mode = load_mode(now, permissions);
    bool const is_due = allowed_mode.has_value() || m_draining_since.has_value();
    if (allowed_mode && are_all_read_back(now)) {
        m_is_ordering = true;
        m_order_sent_at = now;
        m_draining_since.reset();
        actions.emplace_back(OrderLoad { m_report->order_sequence, *allowed_mode });
        return actions;
    }
    has_more = is_due;
    while (has_more && m_calls < m_settings.max_calls_in_flight)
        has_more = read_back_next(now, actions);
    return actions;
}

}
