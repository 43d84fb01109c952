// SPDX-License-Identifier: BSD-2-Clause
#include "WeightsLoader.h"

#include <LibConfiguration/HeldVersion.h>
#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <LibSchema/Json.h>
#include <algorithm>
#include <utility>

namespace EngineAgent {

static constexpr Core::Duration update_interval { 50 };
static constexpr Core::Duration poll_interval { 100 };
// After a pause of the process the last goal is used again once this much time has passed without a new one: entries dial an agent
// again well before this.
static constexpr Core::Duration goal_valid_after_pause { 3000 };
// One in this number of the engines may be out of service at once for a new version: a third.
static constexpr size_t engines_per_switching_one = 3;
// Entries send no requests to an engine that lacks a version from 1.5 s before the version's deadline. From then on the engine is out of
// service in any case, and before then its capacity is needed.
static constexpr Core::Duration switch_time_before_deadline { 1700 };

WeightsLoader::WeightsLoader(Core::EventLoop& loop, WeightsLoaderSettings settings, Core::Metrics& metrics, Platform::EngineApi& engine, Platform::WeightOrigin& origin, Callbacks callbacks)
    : m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_engine(engine)
    , m_callbacks(std::move(callbacks))
    , m_fetcher(loop, m_settings.fetcher, metrics, origin, fetcher_callbacks())
    , m_goal(m_fetcher, { .is_seeking = [this](int64_t version) { return is_seeking(version); }, .before_switch = [this](Schema::WeightsGoal const& next, Core::Time named_at) { on_goal_change(next, named_at); } })
    , m_update_timer(loop.every(update_interval, [this] { update(); }))
    , m_poll_timer(loop.every(poll_interval, [this] { poll_engine(); }))
{
}

WeightsLoader::~WeightsLoader() = default;

Weights::CopyFetcher::Callbacks WeightsLoader::fetcher_callbacks()
{
    return {
        .announce = [this](Schema::PieceMap const& map) { m_callbacks.announce(map); },
        .manifest_accepted = [this] { on_manifest(); },
        .chunk_held = [this](size_t chunk) {
            m_load->on_held(chunk);
            run_load(Core::monotonic_now()); },
        .is_seeking = [this](int64_t version) { return is_seeking(version); },
        .is_lacked = [this](int64_t version) { return is_lacked(version); },
        .also_used = [this] { return m_older ? &m_older->spec : nullptr; },
        .sources = [this] { return sources(); },
    };
}

// The goal.

bool WeightsLoader::is_seeking(int64_t version) const
{
    // An engine that holds the version needs no more chunks, until it is restarted.
    return goal() && serving_version() < version;
}

bool WeightsLoader::is_lacked(int64_t version) const
{
    return goal() && std::any_of(goal()->peers.begin(), goal()->peers.end(), [&](auto const& peer) {
        return peer.identity != m_settings.fetcher.identity && !does_peer_serve(peer.identity, version);
    });
}

bool WeightsLoader::does_peer_serve(std::string const& peer, int64_t version) const
{
    auto const served = m_peer_versions.find(peer);
    return served != m_peer_versions.end() && served->second >= version;
}

Weights::CopySources WeightsLoader::sources() const
{
    Weights::CopySources sources;
    sources.caches.assign(m_caches.begin(), m_caches.end());
    sources.same_region.assign(m_caches_in_region.begin(), m_caches_in_region.end());
    sources.targets.push_back(m_settings.fetcher.identity);
    sources.same_region.push_back(m_settings.fetcher.identity);
    for (auto const& peer : goal()->peers) {
        if (peer.identity == m_settings.fetcher.identity)
            continue;
        if (!does_peer_serve(peer.identity, goal()->version))
            sources.targets.push_back(peer.identity);
        auto const region = m_settings.regions.find(peer.failure_domain);
        if (region != m_settings.regions.end() && region->second == m_settings.region)
            sources.same_region.push_back(peer.identity);
    }
    return sources;
}

void WeightsLoader::set_goal(Schema::WeightsGoal const& goal)
{
    m_resumed_at.reset();
    if (m_goal.on_version_named(goal, Core::monotonic_now() - Core::Duration(goal.age_ms)))
        update();
}

void WeightsLoader::on_goal_change(Schema::WeightsGoal const& next, Core::Time named_at)
{
    keep_loading_older();
    m_unreached_versions.on_named(next.version, named_at);
    if (m_load)
        log_dropped(*m_load);
    m_load.reset();
}

void WeightsLoader::set_caches(std::set<std::string> caches)
{
    m_caches = std::move(caches);
    std::erase_if(m_caches_in_region, [this](auto const& cache) { return !m_caches.contains(cache); });
    m_fetcher.update_sources();
}

void WeightsLoader::keep_loading_older()
{
    if (!m_load || m_older)
        return;
    // Each version has its own deadline, and a version that is complete here can be served before the newer one. An order that the engine may
    // still take keeps the staging area as it is.
    bool const is_worth_it = m_fetcher.is_complete() && serving_version() < goal()->version;
    if (!is_worth_it && !m_load->has_open_order())
        return;
    m_older = OlderLoad { *goal(), m_goal.named_at(), m_fetcher.spec(), std::move(m_load) };
    Core::log_event(Core::LogLevel::Info, "older_load_goes_on", { { "version", std::to_string(m_older->goal.version) } });
}

bool WeightsLoader::is_older_load_over(Core::Time now) const
{
    if (serving_version() >= m_older->goal.version || held_version() > m_older->goal.version)
        return true;
    if (m_older->load->is_switching())
        return false;
    return m_fetcher.is_complete() || now >= m_older->goal_at + Core::Duration(m_older->goal.bound_ms);
}

Distribution::StagedLoad* WeightsLoader::load_of(int64_t version)
{
    if (m_older && m_older->load->version() == version)
        return m_older->load.get();
    return m_load && m_load->version() == version ? m_load.get() : nullptr;
}

Schema::VersionSpec const& WeightsLoader::spec_of(int64_t version) const
{
    return m_older && m_older->load->version() == version ? m_older->spec : m_fetcher.spec();
}

int64_t WeightsLoader::held_version() const
{
    return m_report && goal() ? Configuration::highest_complete_version(m_report->held, goal()->layers) : 0;
}

bool WeightsLoader::is_held_from_start(int64_t version) const
{
    return m_held_from_start && goal() && Configuration::highest_complete_version(*m_held_from_start, goal()->layers) == version;
}

int64_t WeightsLoader::checked_version() const
{
    auto const held = held_version();
    return held == m_whole_version ? held : 0;
}

std::optional<int64_t> WeightsLoader::unchecked_version() const
{
    auto const held = held_version();
    bool const is_unchecked = held > 0 && held != m_whole_version && is_held_from_start(held);
    return is_unchecked ? std::optional(held) : std::nullopt;
}

int64_t WeightsLoader::serving_version() const
{
    return unchecked_version().value_or(checked_version());
}

bool WeightsLoader::is_busy() const
{
    bool const is_switching = (m_load && m_load->is_switching()) || (m_older && m_older->load->is_switching());
    return (m_report && m_report->is_busy) || is_switching;
}

void WeightsLoader::announce_served_version()
{
    auto const version = serving_version();
    Schema::PieceMap map;
    map.model = goal()->model;
    map.version = version > 0 ? version : goal()->version;
    map.is_seeking = version == 0;
    m_callbacks.announce(map);
}

void WeightsLoader::on_resumed()
{
    m_resumed_at = Core::monotonic_now();
    m_is_polling = false;
    apply_report(Core::failure(Core::ErrorCode::ConnectFailed, "no report was requested since the process was paused"), *m_resumed_at);
    poll_engine();
}

/// If no entry sends a goal within this time after a pause, the last goal still applies.
bool WeightsLoader::is_goal_current(Core::Time now)
{
    if (m_resumed_at && now - *m_resumed_at >= goal_valid_after_pause)
        m_resumed_at.reset();
    return !m_resumed_at;
}

void WeightsLoader::update()
{
    m_callbacks.detect_pause();
    if (!goal())
        return;
    m_goal.switch_if_due();
    auto const now = Core::monotonic_now();
    // Nothing is fetched for an engine that does not answer, unless the transfer has begun.
    bool const is_engine_there = m_report.has_value() || m_fetcher.has_manifest();
    if (is_engine_there && m_adopting == 0)
        m_fetcher.advance(now);
    run_load(now);
    publish_changes();
}

void WeightsLoader::on_peer_pieces(std::string const& peer, Schema::PieceMap const& map)
{
    auto& served = m_peer_versions[peer];
    auto const before = served;
    served = map.is_seeking ? std::min(served, map.version - 1) : std::max(served, map.version);
    if (served != before)
        m_fetcher.update_sources();
    m_fetcher.on_peer_pieces(peer, map);
    update();
}

void WeightsLoader::on_cache_pieces(std::string const& cache, Schema::PieceMap const& map)
{
    // Caches send their maps only to the agents of their own region.
    if (m_caches_in_region.insert(cache).second)
        m_fetcher.update_sources();
    m_fetcher.on_peer_pieces(cache, map);
    update();
}

void WeightsLoader::on_peer_down(std::string const& peer)
{
    m_peer_versions.erase(peer);
    m_fetcher.on_peer_down(peer);
}

void WeightsLoader::on_manifest()
{
    auto const& manifest = m_fetcher.manifest();
    m_load = std::make_unique<Distribution::StagedLoad>(manifest.version, manifest.digests.size(), m_staging_area, Distribution::StagedLoadSettings {});
    if (held_version() == manifest.version && m_whole_version == manifest.version)
        m_load->on_known_whole();
    if (m_report)
        m_load->on_report(*m_report, goal()->layers, m_report_requested_at, Core::monotonic_now());
    if (m_has_adopted)
        begin_transfer();
    else
        adopt_staged();
}

void WeightsLoader::begin_transfer()
{
    m_fetcher.begin();
}

static size_t max_staged_bytes(Schema::VersionSpec const& spec, size_t chunk)
{
    return static_cast<size_t>(spec.chunks[chunk].bytes);
}

// Chunks that an earlier process of this agent wrote to the engine's staging area.

void WeightsLoader::adopt_staged()
{
    m_has_adopted = true;
    m_adopting = m_fetcher.spec().chunks.size();
    auto const version = m_fetcher.manifest().version;
    for (size_t i = 0; i < m_fetcher.spec().chunks.size(); ++i) {
        m_engine.read_staged(goal()->model, i, max_staged_bytes(m_fetcher.spec(), i), [this, i, version](Core::ErrorOr<std::shared_ptr<std::string const>> const& read) {
            auto const bytes = read.value_or(nullptr);
            bool const is_wanted = bytes && m_fetcher.has_manifest() && m_fetcher.manifest().version == version;
            if (is_wanted && m_fetcher.add_local_chunk(i, *bytes))
                m_metrics.count("mountbarrow_chunks_adopted_total");
            m_adopting -= 1;
            // The transfer of a newer version that was named meanwhile has started already.
            bool const is_still_wanted = m_fetcher.has_manifest() && m_fetcher.manifest().version == version;
            if (m_adopting == 0 && is_still_wanted)
                begin_transfer();
        });
    }
}

// Writing chunks to the engine's staging area, and ordering the engine to load them.

void WeightsLoader::run_load(Core::Time now)
{
    m_callbacks.detect_pause();
    bool const may_order = is_goal_current(now) && !is_engine_leaving();
    if (may_order && m_older && is_older_load_over(now)) {
        log_dropped(*m_older->load);
        m_older.reset();
    }
    // The engine's staging area holds only one version at a time: the newer one waits here until the older one is loaded.
    if (m_older)
        run_step(*m_older->load, m_older->goal, m_older->goal_at, may_order, now);
    else if (m_load && m_adopting == 0)
        run_step(*m_load, *goal(), m_goal.named_at(), may_order, now);
}

void WeightsLoader::run_step(Distribution::StagedLoad& load, Schema::WeightsGoal const& goal, Core::Time goal_at, bool may_order, Core::Time now)
{
    // A check only reads.
    if (!may_order && !load.is_checking())
        return;
    for (auto const& action : load.step(now, { may_switch(goal, goal_at, now), goal.may_evict }))
        perform(action, load.version());
}

void WeightsLoader::perform(Distribution::LoadAction const& action, int64_t version)
{
    if (auto const* stage_chunk = std::get_if<Distribution::StageChunk>(&action))
        stage(version, stage_chunk->chunk);
    else if (auto const* read = std::get_if<Distribution::ReadBackChunk>(&action))
        read_back(version, read->chunk);
    else if (auto const* due = std::get_if<Distribution::OrderLoad>(&action))
        order(version, *due);
    else if (auto const* due_layer = std::get_if<Distribution::OrderHoldLayer>(&action))
        hold_layer(version, *due_layer);
}

void WeightsLoader::stage(int64_t version, size_t chunk)
{
    auto const bytes = m_fetcher.store().find(spec_of(version).chunks[chunk].digest);
    m_staging_area.on_write_sent(Core::monotonic_now());
    m_engine.stage(goal()->model, chunk, bytes ? *bytes : std::string(), [this, version, chunk](bool is_done) {
        auto const now = Core::monotonic_now();
        m_staging_area.on_write_ended(is_done, now);
        if (auto* load = load_of(version))
            load->on_staged(chunk, is_done, now);
        run_load(now);
    });
}

static Distribution::ReadBack read_back_result(Core::ErrorOr<std::shared_ptr<std::string const>> const& read, std::string const& digest)
{
    if (!read.has_value())
        return Distribution::ReadBack::Unanswered;
    if (!*read)
        return Distribution::ReadBack::Absent;
    return Core::sha256(**read) == digest ? Distribution::ReadBack::Right : Distribution::ReadBack::Wrong;
}

void WeightsLoader::read_back(int64_t version, size_t chunk)
{
    m_engine.read_staged(goal()->model, chunk, max_staged_bytes(spec_of(version), chunk), [this, version, chunk](Core::ErrorOr<std::shared_ptr<std::string const>> const& read) {
        auto* load = load_of(version);
        if (!load)
            return;
        auto const result = read_back_result(read, spec_of(version).chunks[chunk].digest);
        bool const is_bad = result == Distribution::ReadBack::Wrong || result == Distribution::ReadBack::Absent;
        if (is_bad)
            Core::log_event(Core::LogLevel::Warn, "staged_chunk_bad", { { "chunk", std::to_string(chunk) }, { "version", std::to_string(version) }, { "checking", load->is_checking() ? "yes" : "no" } });
        auto const now = Core::monotonic_now();
        load->on_read_back(chunk, result, now);
        note_verdict(*load);
        run_load(now);
    });
}

void WeightsLoader::note_verdict(Distribution::StagedLoad const& load)
{
    using Verdict = Distribution::LoadCheck::Verdict;
    if (load.is_served_whole())
        m_whole_version = load.version();
    if (!load.verdict() || load.is_checking())
        return;
    std::pair const verdict { load.version(), *load.verdict() };
    if (verdict == std::exchange(m_logged_verdict, verdict))
        return;
    bool const is_whole = verdict.second == Verdict::Whole;
    // A load that was there before this process counts as whole only until its check.
    if (!is_whole)
        m_held_from_start.reset();
    m_metrics.count("mountbarrow_load_checks_total", is_whole ? "verdict=\"whole\"" : "verdict=\"doubtful\"");
    Core::log_event(is_whole ? Core::LogLevel::Info : Core::LogLevel::Warn, "load_checked", { { "version", std::to_string(load.version()) }, { "verdict", is_whole ? "whole" : "doubtful" } });
}

bool WeightsLoader::may_switch(Schema::WeightsGoal const& goal, Core::Time goal_at, Core::Time now) const
{
    // An engine without a version that was found whole serves nothing that it could be taken out of.
    if (serving_version() == 0)
        return true;
    // The deadline takes precedence over serving capacity: an engine that is close to it switches at once.
    auto const named_at = std::min(goal_at, m_unreached_versions.oldest_named_at().value_or(goal_at));
    if (now >= named_at + Core::Duration(goal.bound_ms) - switch_time_before_deadline)
        return true;
    std::vector<std::string> ids { m_settings.fetcher.identity };
    std::vector<std::string> ready;
    for (auto const& peer : goal.peers) {
        if (peer.identity == m_settings.fetcher.identity)
            continue;
        ids.push_back(peer.identity);
        if (does_peer_serve(peer.identity, goal.version))
            ready.push_back(peer.identity);
    }
    auto const slack = std::max<size_t>(1, ids.size() / engines_per_switching_one);
    auto const ranked = Core::rendezvous_order(std::to_string(goal.version), std::move(ids));
    return Distribution::may_switch(m_settings.fetcher.identity, ranked, ready, slack);
}

static std::string age_ms(std::optional<Core::Time> since, Core::Time now)
{
    return since ? std::to_string((now - *since).count()) : "none";
}

void WeightsLoader::order(int64_t version, Distribution::OrderLoad const& due)
{
    auto const sent_at = Core::monotonic_now();
    auto const verified_at = load_of(version)->oldest_verification();
    m_logged_verdict = {};
    auto const goal_at = m_older && m_older->goal.version == version ? m_older->goal_at : m_goal.named_at();
    Core::log_event(Core::LogLevel::Info, "load_ordered", { { "version", std::to_string(version) }, { "expected_sequence", due.expected_sequence ? std::to_string(*due.expected_sequence) : "any" }, { "manner", due.mode == Platform::LoadMode::EvictRunning ? "evict" : "wait" }, { "running", std::to_string(m_report ? m_report->running : 0) }, { "after_ms", std::to_string((sent_at - goal_at).count()) }, { "oldest_read_back_ms", age_ms(verified_at, sent_at) } });
    m_metrics.count("mountbarrow_load_orders_total");
    m_engine.start(goal()->model, version, due.mode, due.expected_sequence, [this, version, sent_at, verified_at](Platform::OrderOutcome outcome) {
        auto const now = Core::monotonic_now();
        Core::log_event(Core::LogLevel::Info, "load_answered", { { "version", std::to_string(version) }, { "outcome", std::to_string(static_cast<int>(outcome)) }, { "waited_ms", age_ms(sent_at, now) }, { "oldest_read_back_ms", age_ms(verified_at, now) } });
        if (auto* load = load_of(version))
            load->on_ordered(outcome, now);
        poll_engine();
        run_load(now);
    });
}

void WeightsLoader::hold_layer(int64_t version, Distribution::OrderHoldLayer const& due)
{
    Core::log_event(Core::LogLevel::Warn, "layer_ordered", { { "version", std::to_string(version) }, { "layer", std::to_string(due.layer) }, { "expected_sequence", due.expected_sequence ? std::to_string(*due.expected_sequence) : "any" } });
    m_metrics.count("mountbarrow_layer_orders_total");
    m_engine.hold_layer(goal()->model, version, due.layer, due.expected_sequence, [this, version](Platform::OrderOutcome outcome) {
        Core::log_event(Core::LogLevel::Info, "layer_answered", { { "version", std::to_string(version) }, { "outcome", std::to_string(static_cast<int>(outcome)) } });
        if (auto* load = load_of(version))
            load->on_hold_layer_ordered(outcome, Core::monotonic_now());
        poll_engine();
    });
}

// The engine's own report.

void WeightsLoader::poll_engine()
{
    m_callbacks.detect_pause();
    if (std::exchange(m_is_polling, true))
        return;
    m_engine.read_report([this, number = ++m_poll_number, requested_at = Core::monotonic_now()](Core::ErrorOr<Platform::EngineReport> const& report) {
        if (number != m_poll_number)
            return;
        m_is_polling = false;
        on_report(report, requested_at);
    });
}

void WeightsLoader::log_report_fault(Core::ErrorOr<Platform::EngineReport> const& report)
{
    std::string fault;
    if (!report.has_value())
        fault = std::string(Core::error_name(report.error().code)) + " " + report.error().detail;
    else if (!report->unreadable_fields.empty())
        fault = std::string(Core::error_name(Core::ErrorCode::UnreadableField)) + " " + report->unreadable_fields.front();
    if (!fault.empty())
        m_metrics.count("mountbarrow_report_faults_total");
    // The engine is polled ten times a second, so only a change is logged.
    if (fault != std::exchange(m_report_fault, fault))
        Core::log_event(fault.empty() ? Core::LogLevel::Info : Core::LogLevel::Warn, "report_fault", { { "fault", fault.empty() ? "none" : fault } });
}

void WeightsLoader::on_report(Core::ErrorOr<Platform::EngineReport> const& report, Core::Time requested_at)
{
    bool const is_late = report.has_value() && Distribution::is_of_earlier_incarnation(*report, m_report);
    if (is_late)
        apply_report(Core::failure(Core::ErrorCode::UnreadableField, "the report is of an earlier incarnation of the engine"), requested_at);
    else
        apply_report(report, requested_at);
}

void WeightsLoader::log_restart(std::optional<int64_t> started_at_ms)
{
    if (!started_at_ms || started_at_ms == m_started_at_ms)
        return;
    if (m_started_at_ms)
        Core::log_event(Core::LogLevel::Info, "engine_restarted", { { "started_at_ms", std::to_string(*started_at_ms) }, { "before_ms", std::to_string(*m_started_at_ms) } });
    m_started_at_ms = started_at_ms;
}

void WeightsLoader::log_order_sequence(std::optional<int64_t> sequence)
{
    auto const before = std::exchange(m_order_sequence, sequence);
    if (before && sequence && before != sequence)
        Core::log_event(Core::LogLevel::Info, "order_sequence_changed", { { "sequence", std::to_string(*sequence) }, { "before", std::to_string(*before) } });
}

void WeightsLoader::log_dropped(Distribution::StagedLoad const& load)
{
    if (load.calls_in_flight() == 0 && !load.has_open_order())
        return;
    Core::log_event(Core::LogLevel::Info, "load_dropped", { { "version", std::to_string(load.version()) }, { "calls_in_flight", std::to_string(load.calls_in_flight()) }, { "order_open", load.has_open_order() ? "yes" : "no" } });
}

bool WeightsLoader::is_restart(Platform::EngineReport const& report) const
{
    bool const has_other_start = m_started_at_ms && report.started_at_ms && *m_started_at_ms != *report.started_at_ms;
    return has_other_start || (m_order_sequence && report.order_sequence && *report.order_sequence < *m_order_sequence);
}

void WeightsLoader::update_whole_version(Platform::EngineReport const& report)
{
    if (!std::exchange(m_has_been_reported, true) && !report.is_busy)
        m_held_from_start = report.held;
    if (m_held_from_start && (is_restart(report) || Schema::to_value(*m_held_from_start) != Schema::to_value(report.held)))
        m_held_from_start.reset();
    if (goal() && (is_restart(report) || Configuration::highest_complete_version(report.held, goal()->layers) != m_whole_version))
        m_whole_version = 0;
}

void WeightsLoader::apply_report(Core::ErrorOr<Platform::EngineReport> const& report, Core::Time requested_at)
{
    log_report_fault(report);
    if (!report.has_value()) {
        m_report.reset();
        m_staging_area.on_unreachable();
        if (m_load)
            m_load->on_unreachable();
        if (m_older)
            m_older->load->on_unreachable();
    } else {
        auto const now = Core::monotonic_now();
        update_whole_version(*report);
        m_report = *report;
        m_report_requested_at = requested_at;
        log_restart(report->started_at_ms);
        log_order_sequence(report->order_sequence);
        m_staging_area.on_report(*report, now);
        apply_to_load(m_load.get());
        if (m_older)
            apply_to_load(m_older->load.get());
    }
    publish_changes();
}

void WeightsLoader::apply_to_load(Distribution::StagedLoad* load)
{
    if (!load)
        return;
    load->on_report(*m_report, goal()->layers, m_report_requested_at, Core::monotonic_now());
    note_verdict(*load);
}

void WeightsLoader::publish_changes()
{
    auto const is_busy = this->is_busy();
    auto const version = serving_version();
    auto const checked = checked_version();
    bool const is_same = version == m_last_version && checked == m_last_checked_version && is_busy == m_was_busy && m_published_start == m_started_at_ms;
    if (is_same)
        return;
    m_published_start = m_started_at_ms;
    Core::log_event(Core::LogLevel::Info, "engine_changed", { { "version", std::to_string(version) }, { "checked", std::to_string(checked) }, { "busy", is_busy ? "yes" : "no" }, { "reachable", m_report ? "yes" : "no" } });
    bool const is_other_version = version != m_last_version;
    m_unreached_versions.on_serving(version);
    m_last_version = version;
    m_last_checked_version = checked;
    m_was_busy = is_busy;
    if (is_other_version && goal())
        announce_served_version();
    m_callbacks.changed();
}

}
