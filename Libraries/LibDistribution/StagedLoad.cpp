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

StagedLoad::StagedLoad(int64_t version, size_t chunks, StagingArea& area, StagedLoadSettings settings)
    : m_version(version)
    , m_area(area)
    , m_settings(settings)
    , m_chunks(chunks)
{
}

void StagedLoad::on_held(size_t chunk)
{
    m_chunks[chunk].is_held = true;
}

void StagedLoad::on_staged(size_t chunk, bool has_succeeded, Core::Time now)
{
    auto& state = m_chunks[chunk];
    state.is_in_call = false;
    state.is_staged = has_succeeded;
    state.is_call_outdated = false;
    state.verified_at.reset();
    m_calls -= 1;
    m_writes -= 1;
    if (!has_succeeded)
        state.retry_at = now + m_settings.call_retry;
}

void StagedLoad::on_read_back(size_t chunk, ReadBack result, Core::Time now)
{
    auto& state = m_chunks[chunk];
    state.is_in_call = false;
    m_calls -= 1;
    // The staged chunk may have been lost when the engine restarted after the read-back was sent.
    if (std::exchange(state.is_call_outdated, false))
        return;
    if (result == ReadBack::Unanswered) {
        state.retry_at = now + m_settings.call_retry;
        return;
    }
    if (is_checking())
        m_check->on_read_back(chunk, result);
    if (result == ReadBack::Right) {
        state.verified_at = state.read_back_sent_at;
        return;
    }
    state.verified_at.reset();
    state.is_staged = false;
    m_corrupt_count += 1;
}

void StagedLoad::on_report(Platform::EngineReport const& report, int64_t layers, Core::Time requested_at, Core::Time now)
{
    if (is_of_earlier_incarnation(report, m_report)) {
        on_unreachable();
        return;
    }
    if (is_restart(report))
        begin_incarnation();
    else if (m_is_ordering || requested_at < m_order_ended_at)
        return;
    bool const has_order_wait_ended = m_order_wait_since && !report.is_busy && now - *m_order_wait_since >= m_settings.order_result_timeout;
    m_report = report;
    if (report.started_at_ms)
        m_started_at_ms = report.started_at_ms;
    m_layers = layers;
    m_held_version = Configuration::highest_complete_version(report.held, layers);
    // Of a load that no order of this load is known to have brought about, reads show something only once no late write can repair a chunk.
    bool const can_be_checked = m_order_wait_since || !m_area.can_change_unseen() || m_area.has_written_beside_open_order();
    if (m_held_version == m_version && !m_check && !m_is_ordering && can_be_checked)
        begin_check(now);
    if (m_held_version >= m_version || has_order_wait_ended)
        m_order_wait_since.reset();
    // The order was accepted, but its load did not come about.
    if (m_held_version != m_version && has_order_wait_ended)
        m_check.reset();
}

bool StagedLoad::is_restart(Platform::EngineReport const& report) const
{
    if (m_started_at_ms && report.started_at_ms)
        return *m_started_at_ms != *report.started_at_ms;
    // If the engine reports no start time, a lower sequence number shows that it has restarted, as does the loss of its layers without an
    // order.
    bool const has_sequences = m_report && m_report->order_sequence && report.order_sequence;
    if (!has_sequences)
        return false;
    bool const has_lost_layers = !m_report->held.empty() && report.held.empty() && *report.order_sequence == *m_report->order_sequence;
    return *report.order_sequence < *m_report->order_sequence || has_lost_layers;
}

void StagedLoad::begin_incarnation()
{
    m_order_wait_since.reset();
    m_draining_since.reset();
    m_check.reset();
    m_verified_layer.reset();
    m_is_order_outdated = m_is_ordering;
    for (auto& chunk : m_chunks) {
        chunk.is_call_outdated = chunk.is_in_call;
        chunk.verified_at.reset();
    }
}

void StagedLoad::begin_check(Core::Time now)
{
    if (m_area.has_written_beside_open_order()) {
        m_check = LoadCheck::of_unknown_load();
        return;
    }
    std::vector<std::optional<Core::Time>> verified_at;
    for (auto& chunk : m_chunks) {
        verified_at.push_back(chunk.verified_at);
        // Reads that were sent before the engine took the order do not count.
        chunk.is_call_outdated = chunk.is_in_call;
    }
    m_check.emplace(now, verified_at, m_could_change_unseen || m_area.can_change_unseen(), m_settings.allowed_corruption);
}

void StagedLoad::on_unreachable()
{
    m_report.reset();
    m_held_version = 0;
}

void StagedLoad::begin_order(Core::Time now)
{
    m_is_ordering = true;
    m_order_sent_at = now;
    m_order_sequence = m_report->order_sequence;
    m_could_change_unseen = m_area.can_change_unseen();
    m_draining_since.reset();
}

bool StagedLoad::end_order(Platform::OrderOutcome outcome, Core::Time now)
{
    m_is_ordering = false;
    m_order_ended_at = now;
    if (outcome == Platform::OrderOutcome::Unknown)
        m_area.on_order_unanswered(m_order_sent_at);
    // The incarnation that the order was sent to has ended. If the new incarnation has accepted the order after all, its report shows that,
    // and its changed sequence number keeps the next order from taking effect as well.
    if (std::exchange(m_is_order_outdated, false)) {
        m_area.on_order_unanswered(m_order_sent_at);
        return false;
    }
    if (outcome == Platform::OrderOutcome::Accepted)
        m_area.on_order_accepted(m_order_sequence);
    return true;
}

void StagedLoad::on_ordered(Platform::OrderOutcome outcome, Core::Time now)
{
    if (!end_order(outcome, now))
        return;
    switch (outcome) {
    case Platform::OrderOutcome::Accepted:
        m_order_wait_since = now;
        begin_check(now);
        return;
    case Platform::OrderOutcome::Unknown:
        // The time spent waiting for the answer counts towards `order_result_timeout`.
        m_order_wait_since = m_order_sent_at;
        return;
    case Platform::OrderOutcome::AlreadyHeld:
    case Platform::OrderOutcome::Refused:
        // Only a newer report is needed for what comes next.
        m_order_wait_since.reset();
        m_report.reset();
        return;
    }
}

void StagedLoad::on_hold_layer_ordered(Platform::OrderOutcome outcome, Core::Time now)
{
    if (!end_order(outcome, now))
        return;
    m_report.reset();
    if (outcome != Platform::OrderOutcome::Accepted) {
        m_hold_layer_retry_at = now + m_settings.order_result_timeout;
        return;
    }
    m_check.reset();
    m_held_version = 0;
    if (m_is_layer_verified)
        m_verified_layer = m_ordered_layer;
}

std::optional<int64_t> StagedLoad::held_part() const
{
    for (auto const& held : m_report->held) {
        bool const is_part = held.version == m_version && held.end_layer - held.first_layer < m_layers;
        if (is_part)
            return held.first_layer;
    }
    return {};
}

bool StagedLoad::is_complete() const
{
    return std::all_of(m_chunks.begin(), m_chunks.end(), [](auto const& chunk) { return chunk.is_staged && !chunk.is_in_call; });
}

size_t StagedLoad::held_count() const
{
    return static_cast<size_t>(std::count_if(m_chunks.begin(), m_chunks.end(), [](auto const& chunk) { return chunk.is_held; }));
}

std::optional<Core::Time> StagedLoad::oldest_verification() const
{
    // An empty value compares less than any time.
    auto const oldest = std::min_element(m_chunks.begin(), m_chunks.end(), [](auto const& a, auto const& b) { return a.verified_at < b.verified_at; });
    return oldest == m_chunks.end() ? std::nullopt : oldest->verified_at;
}

bool StagedLoad::stage_next(Core::Time now, std::vector<LoadAction>& actions)
{
    for (size_t i = 0; i < m_chunks.size(); ++i) {
        auto& chunk = m_chunks[i];
        if (!chunk.is_held || chunk.is_staged || chunk.is_in_call || now < chunk.retry_at)
            continue;
        chunk.is_in_call = true;
        m_calls += 1;
        m_writes += 1;
        m_verified_layer.reset();
        actions.emplace_back(StageChunk { i });
        return true;
    }
    return false;
}

template<typename IsDue>
bool StagedLoad::read_back_next(Core::Time now, IsDue const& is_due, std::vector<LoadAction>& actions)
{
    for (size_t i = 0; i < m_chunks.size(); ++i) {
        auto& chunk = m_chunks[i];
        if (chunk.is_in_call || now < chunk.retry_at || !is_due(i))
            continue;
        chunk.is_in_call = true;
        chunk.read_back_sent_at = now;
        m_calls += 1;
        actions.emplace_back(ReadBackChunk { i });
        return true;
    }
    return false;
}

bool StagedLoad::is_verified(Chunk const& chunk, Core::Time now) const
{
    return chunk.verified_at && now - *chunk.verified_at < m_settings.read_back_validity;
}

bool StagedLoad::are_all_verified(Core::Time now) const
{
    return std::all_of(m_chunks.begin(), m_chunks.end(), [&](auto const& chunk) { return is_verified(chunk, now); });
}

std::optional<Platform::LoadMode> StagedLoad::load_mode(Core::Time now, SwitchPermissions const& permissions)
{
    bool const serves_something = m_held_version > 0;
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
    // A write of the load of an earlier version is still in flight.
    bool const is_area_in_use = m_area.writes_in_flight() > m_writes;
    bool const waits_for_check = m_held_version == m_version && !m_check;
    if (is_area_in_use || m_is_ordering || m_held_version > m_version || waits_for_check)
        return {};
    if (is_checking())
        return check_load(now);
    if (is_in_doubt())
        return begin_replacement(now);
    return prepare_load(now, permissions);
}

std::vector<LoadAction> StagedLoad::check_load(Core::Time now)
{
    std::vector<LoadAction> actions;
    bool has_more = true;
    while (has_more && m_calls < m_settings.max_calls_in_flight)
        has_more = read_back_next(
            now, [this](size_t chunk) { return m_check->is_due(chunk); }, actions);
    return actions;
}

std::vector<LoadAction> StagedLoad::begin_replacement(Core::Time now)
{
    bool const can_be_ordered = m_report && !m_report->is_busy && !m_order_wait_since && m_calls == 0 && now >= m_hold_layer_retry_at;
    if (!can_be_ordered)
        return {};
    m_is_layer_verified = false;
    return { order_layer(0, now) };
}

LoadAction StagedLoad::order_layer(int64_t layer, Core::Time now)
{
    begin_order(now);
    m_ordered_layer = layer;
    return OrderHoldLayer { layer, m_order_sequence };
}

std::vector<LoadAction> StagedLoad::prepare_load(Core::Time now, SwitchPermissions const& permissions)
{
    std::vector<LoadAction> actions;
    bool has_more = true;
    while (has_more && m_calls < m_settings.max_calls_in_flight)
        has_more = stage_next(now, actions);
    if (m_held_version == m_version)
        m_draining_since.reset();
    bool const needs_load = m_report && !m_report->is_busy && m_held_version < m_version && !m_order_wait_since && is_complete();
    if (!needs_load)
        return actions;
    auto const allowed_mode = load_mode(now, permissions);
    bool const is_due = allowed_mode.has_value() || m_draining_since.has_value();
    auto const part = held_part();
    if (allowed_mode && are_all_verified(now) && part && part != m_verified_layer) {
        if (now < m_hold_layer_retry_at)
            return actions;
        m_is_layer_verified = true;
        // A layer that it does not hold, so that it gives up the part.
        actions.push_back(order_layer(*part > 0 ? 0 : m_layers - 1, now));
        return actions;
    }
    if (allowed_mode && are_all_verified(now)) {
        begin_order(now);
        m_check.reset();
        m_verified_layer.reset();
        actions.emplace_back(OrderLoad { m_order_sequence, *allowed_mode });
        return actions;
    }
    has_more = is_due;
    while (has_more && m_calls < m_settings.max_calls_in_flight)
        has_more = read_back_next(
            now, [&](size_t chunk) { return !is_verified(m_chunks[chunk], now); }, actions);
    return actions;
}

}
