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

void StagedLoad::on_staged(size_t chunk, bool is_done)
{
    auto& state = m_chunks[chunk];
    state.is_in_call = false;
    state.is_staged = is_done;
    state.is_call_overtaken = false;
    state.right_at.reset();
    m_calls -= 1;
}

void StagedLoad::on_read_back(size_t chunk, bool is_right, Core::Time now)
{
    auto& state = m_chunks[chunk];
    state.is_in_call = false;
    m_calls -= 1;
    // What lay there before the engine started again may be gone since.
    if (std::exchange(state.is_call_overtaken, false))
        return;
    if (is_right) {
        state.right_at = now;
        return;
    }
    state.right_at.reset();
    state.is_staged = false;
    m_bad += 1;
}

void StagedLoad::on_report(Platform::EngineReport const& report, int64_t layers, Core::Time now)
{
    if (is_of_earlier_incarnation(report, m_report)) {
        on_unreachable();
        return;
    }
    if (is_restart(report))
        begin_incarnation();
    bool const has_answered = m_ordered_at && !report.is_busy && now - *m_ordered_at >= m_settings.order_patience;
    m_report = report;
    if (report.started_at_ms)
        m_started_at_ms = report.started_at_ms;
    // One that holds a newer version has been told of it by somebody: it is never turned back.
    m_is_serving = Configuration::whole_version(report.held, layers) >= m_version;
    if (m_is_serving || has_answered)
        m_ordered_at.reset();
}

bool StagedLoad::is_restart(Platform::EngineReport const& report) const
{
    if (m_started_at_ms && report.started_at_ms)
        return *m_started_at_ms != *report.started_at_ms;
    // An engine that tells no start is known to have started again by its sequence, if that is lower.
    bool const has_sequences = m_report && m_report->order_sequence && report.order_sequence;
    return has_sequences && *report.order_sequence < *m_report->order_sequence;
}

void StagedLoad::begin_incarnation()
{
    m_ordered_at.reset();
    m_draining_since.reset();
    m_is_order_overtaken = m_is_ordering;
    for (auto& chunk : m_chunks) {
        chunk.is_call_overtaken = chunk.is_in_call;
        chunk.right_at.reset();
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
    // Its engine is gone. If the one that is there now has taken it after all, its report tells, and its sequence keeps
    // the next order from taking effect beside it.
    if (std::exchange(m_is_order_overtaken, false))
        return;
    // A refused order leaves nothing to wait for but a newer report.
    if (outcome == Platform::OrderOutcome::Refused) {
        m_ordered_at.reset();
        m_report.reset();
        return;
    }
    // Where nothing was answered, the wait for the answer was part of the wait for a report that tells.
    m_ordered_at = outcome == Platform::OrderOutcome::Unknown ? m_order_sent_at : now;
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
        bool const is_right = chunk.right_at && now - *chunk.right_at < m_settings.read_back_holds;
        if (is_right || chunk.is_in_call)
            continue;
        chunk.is_in_call = true;
        m_calls += 1;
        actions.emplace_back(ReadBackChunk { i });
        return true;
    }
    return false;
}

bool StagedLoad::is_read_back(Core::Time now) const
{
    return std::all_of(m_chunks.begin(), m_chunks.end(), [&](auto const& chunk) {
        return chunk.right_at && now - *chunk.right_at < m_settings.read_back_holds;
    });
}

std::optional<Platform::LoadMode> StagedLoad::manner(Core::Time now, SwitchTerms const& terms)
{
    bool const serves_something = !m_report->held.empty();
    if (!serves_something)
        return Platform::LoadMode::WaitForRunning;
    if (!terms.may_switch && !m_draining_since)
        return {};
    if (!m_draining_since)
        m_draining_since = now;
    auto const drained_for = now - *m_draining_since;
    // What entries sent before they heard of it is still on its way.
    if (drained_for < m_settings.notice)
        return {};
    auto const left = m_report->running + m_report->waiting;
    if (left == 0 || !terms.may_evict)
        return Platform::LoadMode::WaitForRunning;
    auto const patience = left <= m_settings.few_running ? m_settings.few_patience : m_settings.drain_patience;
    if (drained_for < patience)
        return {};
    return Platform::LoadMode::EvictRunning;
}

std::vector<LoadAction> StagedLoad::step(Core::Time now, SwitchTerms terms)
{
    std::vector<LoadAction> actions;
    bool has_more = true;
    while (has_more && m_calls < m_settings.calls_at_once)
        has_more = stage_next(actions);
    bool const wants_load = m_report && !m_report->is_busy && !m_is_serving && !m_is_ordering && !m_ordered_at && is_complete();
    if (!wants_load) {
        if (m_is_serving)
            m_draining_since.reset();
        return actions;
    }
    auto const how = manner(now, terms);
    bool const is_due = how.has_value() || m_draining_since.has_value();
    if (how && is_read_back(now)) {
        m_is_ordering = true;
        m_order_sent_at = now;
        m_draining_since.reset();
        actions.emplace_back(OrderLoad { m_report->order_sequence, *how });
        return actions;
    }
    has_more = is_due;
    while (has_more && m_calls < m_settings.calls_at_once)
        has_more = read_back_next(now, actions);
    return actions;
}

}
