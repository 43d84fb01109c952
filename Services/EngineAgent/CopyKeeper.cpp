// SPDX-License-Identifier: BSD-2-Clause
#include "CopyKeeper.h"

#include <LibConfiguration/Fold.h>
#include <LibConfiguration/HeldVersion.h>
#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <LibSchema/Json.h>
#include <algorithm>
#include <cstdlib>

namespace EngineAgent {

using Distribution::FetchFailure;

static constexpr Core::Duration turn_interval { 50 };
static constexpr Core::Duration poll_interval { 100 };
static constexpr Core::Duration progress_interval { 500 };
static constexpr Core::Duration manifest_retry { 700 };
// SHA-256 in hexadecimal.
static constexpr size_t digest_characters = 64;
// A third of the engines may be out of service at once for a new version.
static constexpr size_t switched_at_once = 3;
// Time that a switch takes at the worst: draining, loading, and a report of it.
static constexpr Core::Duration switch_reserve { 2800 };
static constexpr int status_ok = 200;
static constexpr int status_unavailable = 503;

CopyKeeper::CopyKeeper(Core::EventLoop& loop, CopyKeeperSettings settings, Core::Metrics& metrics, Platform::EngineApi& engine, Platform::WeightOrigin& origin, Callbacks callbacks)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_engine(engine)
    , m_origin(origin)
    , m_callbacks(std::move(callbacks))
    , m_client(loop)
    , m_turn_timer(loop.every(turn_interval, [this] { turn(); }))
    , m_poll_timer(loop.every(poll_interval, [this] { poll_engine(); }))
{
}

CopyKeeper::~CopyKeeper() = default;

// What is wanted.

bool CopyKeeper::is_seeking() const
{
    // An engine that holds what is wanted needs no more chunks, until it is restarted.
    return m_goal && serving_version() != m_goal->version;
}

std::vector<std::string> CopyKeeper::target_ids() const
{
    std::vector<std::string> ids;
    for (auto const& peer : m_goal->peers) {
        auto const served = m_peer_versions.find(peer.identity);
        if (served == m_peer_versions.end() || served->second < m_goal->version)
            ids.push_back(peer.identity);
    }
    if (std::find(ids.begin(), ids.end(), m_settings.identity) == ids.end())
        ids.push_back(m_settings.identity);
    return ids;
}

std::vector<std::string> CopyKeeper::near_ids() const
{
    std::vector<std::string> ids { m_settings.identity };
    for (auto const& peer : m_goal->peers) {
        auto const region = m_settings.regions.find(peer.failure_domain);
        bool const is_near = region != m_settings.regions.end() && region->second == m_settings.region;
        if (is_near && peer.identity != m_settings.identity)
            ids.push_back(peer.identity);
    }
    return ids;
}

void CopyKeeper::set_goal(Schema::WeightsGoal const& goal)
{
    bool const is_older = m_goal && goal.version < m_goal->version;
    if (is_older || goal.chunks <= 0)
        return;
    bool const is_new_version = !m_goal || goal.version > m_goal->version || goal.model != m_goal->model;
    if (!is_new_version) {
        m_goal = goal;
        update_transfer_targets();
        return;
    }
    keep_loading_older();
    if (m_goal && serving_version() < m_goal->version && !m_unmet_since)
        m_unmet_since = m_goal_at;
    m_goal = goal;
    Core::log_event(Core::LogLevel::Info, "goal_changed", { { "model", goal.model }, { "version", std::to_string(goal.version) }, { "origin", goal.origin_address }, { "peers", std::to_string(goal.peers.size()) } });
    m_goal_at = Core::monotonic_now() - Core::Duration(goal.age_ms);
    m_manifest.reset();
    m_manifest_text.clear();
    m_manifest_tries = 0;
    m_manifest_asked_at = Core::Time(0);
    m_spec.reset();
    m_transfer.reset();
    m_load.reset();
    m_downloads.clear();
    m_fetch_chunks.clear();
    m_is_complete = false;
    turn();
}

void CopyKeeper::keep_loading_older()
{
    // Each version has a bound of its own: what is complete here may be served before the newer one can be.
    bool const is_worth_it = m_load && m_is_complete && !m_older && serving_version() < m_goal->version;
    if (!is_worth_it)
        return;
    m_older = LoadingCopy { std::move(*m_goal), m_goal_at, std::move(*m_manifest), std::move(*m_spec), std::move(m_load) };
    Core::log_event(Core::LogLevel::Info, "older_load_goes_on", { { "version", std::to_string(m_older->goal.version) } });
}

bool CopyKeeper::is_older_load_over(Core::Time now) const
{
    if (serving_version() >= m_older->goal.version)
        return true;
    if (m_older->load->is_switching())
        return false;
    return m_is_complete || now >= m_older->goal_at + Core::Duration(m_older->goal.bound_ms);
}

Distribution::StagedLoad* CopyKeeper::load_of(int64_t version)
{
    if (m_older && m_older->load->version() == version)
        return m_older->load.get();
    return m_load && m_load->version() == version ? m_load.get() : nullptr;
}

Schema::VersionSpec const& CopyKeeper::spec_of(int64_t version) const
{
    return m_older && m_older->load->version() == version ? m_older->spec : *m_spec;
}

int64_t CopyKeeper::serving_version() const
{
    return m_report && m_goal ? Configuration::whole_version(m_report->held, m_goal->layers) : 0;
}

bool CopyKeeper::is_busy() const
{
    bool const is_switching = (m_load && m_load->is_switching()) || (m_older && m_older->load->is_switching());
    return (m_report && m_report->is_busy) || is_switching;
}

void CopyKeeper::tell_seeking()
{
    auto const version = serving_version();
    Schema::PieceMap map;
    map.model = m_goal->model;
    map.version = version > 0 ? version : m_goal->version;
    map.is_seeking = version == 0;
    m_callbacks.announce(map);
}

void CopyKeeper::turn()
{
    if (!m_goal)
        return;
    auto const now = Core::monotonic_now();
    if (!m_manifest && m_report)
        seek_manifest(now);
    if (m_adopting == 0 && m_transfer && is_seeking()) {
        run_transfer(now);
        log_progress(now);
    }
    run_load(now);
    tell_change();
}

void CopyKeeper::log_progress(Core::Time now)
{
    if (m_transfer->is_complete() || now - m_progress_told_at < progress_interval)
        return;
    m_progress_told_at = now;
    Core::log_event(Core::LogLevel::Info, "transfer_progress", { { "version", std::to_string(m_manifest->version) }, { "held", std::to_string(m_transfer->held_count()) }, { "from_origin", std::to_string(m_metrics.counter("mountbarrow_chunks_total", "source=\"origin\"")) }, { "fetching", std::to_string(m_fetch_chunks.size()) }, { "busy", std::to_string(m_metrics.counter("mountbarrow_fetch_failures_total", "reason=\"0\"")) }, { "after_ms", std::to_string((now - m_goal_at).count()) } });
}

// The manifest.

void CopyKeeper::seek_manifest(Core::Time now)
{
    if (now - m_manifest_asked_at < manifest_retry && m_manifest_tries > 0)
        return;
    m_manifest_asked_at = now;
    m_manifest_tries += 1;
    // A peer that holds chunks has the manifest; every other try goes to the origin.
    std::vector<std::string> peers;
    for (auto const& [peer, chunks] : m_peer_chunks) {
        if (chunks.first == m_goal->version)
            peers.push_back(peer);
    }
    if (!peers.empty() && m_manifest_tries % 2 == 0) {
        read_manifest_from_peer(peers[m_manifest_tries / 2 % peers.size()]);
        return;
    }
    if (m_goal->origin_address.empty())
        return;
    m_origin.read_manifest(m_goal->origin_address, m_goal->model, m_goal->version, [this](Core::ErrorOr<Platform::Manifest> manifest) {
        if (manifest.has_value())
            take_manifest(*manifest, "origin");
        else
            m_metrics.count("mountbarrow_manifest_failures_total", "source=\"origin\"");
    });
}

void CopyKeeper::read_manifest_from_peer(std::string const& peer)
{
    Transport::HttpCallRequest call;
    call.address = peer;
    call.port = m_settings.chunk_port;
    call.path = "/manifest";
    call.timeout = manifest_retry;
    m_client.call(call, [this, peer](auto answer) {
        if (!answer.has_value() || answer->status != status_ok)
            return;
        auto const value = nlohmann::json::parse(answer->body, nullptr, false);
        if (!value.is_object())
            return;
        Platform::Manifest manifest;
        manifest.model = value.value("model", "");
        manifest.version = value.value("version", int64_t { 0 });
        manifest.chunk_bytes = value.value("chunk_bytes", int64_t { 0 });
        manifest.digests = value.value("digests", std::vector<std::string> {});
        take_manifest(manifest, peer);
    });
}

void CopyKeeper::take_manifest(Platform::Manifest const& manifest, std::string const& source)
{
    if (m_manifest || !m_goal)
        return;
    bool const is_wanted = manifest.model == m_goal->model && manifest.version == m_goal->version && manifest.digests.size() == static_cast<size_t>(m_goal->chunks);
    bool const is_sound = std::all_of(manifest.digests.begin(), manifest.digests.end(), [](auto const& digest) { return digest.size() == digest_characters; });
    if (!is_wanted || !is_sound) {
        m_metrics.count("mountbarrow_manifest_failures_total", "source=\"spoilt\"");
        Core::log_event(Core::LogLevel::Warn, "manifest_refused", { { "source", source }, { "version", std::to_string(manifest.version) }, { "digests", std::to_string(manifest.digests.size()) } });
        return;
    }
    m_manifest = manifest;
    nlohmann::json const text { { "model", manifest.model }, { "version", manifest.version }, { "chunk_bytes", manifest.chunk_bytes }, { "digests", manifest.digests } };
    m_manifest_text = text.dump();
    Schema::VersionSpec spec {};
    for (auto const& digest : manifest.digests)
        spec.chunks.push_back({ .bytes = manifest.chunk_bytes, .digest = digest });
    spec.digest = Configuration::weights_digest(spec.chunks);
    m_spec = spec;
    Core::log_event(Core::LogLevel::Info, "manifest_taken", { { "source", source }, { "version", std::to_string(manifest.version) }, { "already_held", std::to_string(m_store.held_of(*m_spec).size()) } });
    m_load = std::make_unique<Distribution::StagedLoad>(manifest.version, manifest.digests.size(), Distribution::StagedLoadSettings {});
    if (m_report)
        m_load->on_report(*m_report, m_goal->layers, Core::monotonic_now());
    if (m_has_adopted)
        begin_transfer();
    else
        adopt_staged();
}

// What an earlier life of this process left beside the engine.

void CopyKeeper::adopt_staged()
{
    m_has_adopted = true;
    m_adopting = m_spec->chunks.size();
    auto const version = m_manifest->version;
    for (size_t i = 0; i < m_spec->chunks.size(); ++i) {
        m_engine.read_staged(m_manifest->model, i, [this, i, version](std::shared_ptr<std::string const> const& bytes) {
            if (bytes && m_spec && m_manifest->version == version) {
                Distribution::IncomingChunk chunk;
                chunk.append(*bytes);
                if (m_store.add(m_spec->chunks[i].digest, chunk) == Distribution::ChunkStore::AddResult::Added)
                    m_metrics.count("mountbarrow_chunks_adopted_total");
            }
            m_adopting -= 1;
            if (m_adopting == 0 && m_spec)
                begin_transfer();
        });
    }
}

// Moving chunks.

void CopyKeeper::begin_transfer()
{
    auto const now = Core::monotonic_now();
    std::vector<Schema::VersionSpec const*> wanted { &*m_spec };
    if (m_older)
        wanted.push_back(&m_older->spec);
    m_store.keep_only(wanted);
    auto const held = m_store.held_of(*m_spec);
    m_transfer = std::make_unique<Distribution::Transfer>(*m_spec, m_settings.identity, target_ids(), held, m_settings.transfer, Core::stable_hash(m_settings.identity, m_spec->digest), now);
    m_transfer->set_near(near_ids());
    for (auto const& [peer, chunks] : m_peer_chunks) {
        if (chunks.first == m_manifest->version)
            m_transfer->on_peer_chunks(peer, { chunks.second.begin(), chunks.second.end() });
    }
    for (auto chunk : held)
        m_load->on_held(static_cast<size_t>(chunk));
    if (auto const map = this->held())
        m_callbacks.announce(*map);
    turn();
}

void CopyKeeper::update_transfer_targets()
{
    if (!m_transfer)
        return;
    m_transfer->set_targets(target_ids());
    m_transfer->set_near(near_ids());
}

void CopyKeeper::on_peer_pieces(std::string const& peer, Schema::PieceMap const& map)
{
    auto& known = m_peer_chunks[peer];
    if (known.first != map.version)
        known = { map.version, {} };
    known.second.insert(map.chunks.begin(), map.chunks.end());
    auto& served = m_peer_versions[peer];
    auto const before = served;
    served = map.is_seeking ? std::min(served, map.version - 1) : std::max(served, map.version);
    if (served != before)
        update_transfer_targets();
    bool const is_wanted_version = m_goal && map.version == m_goal->version;
    if (is_wanted_version && m_transfer)
        m_transfer->on_peer_chunks(peer, map.chunks);
    turn();
}

void CopyKeeper::on_peer_down(std::string const& peer)
{
    m_peer_chunks.erase(peer);
    m_peer_versions.erase(peer);
    if (m_transfer)
        m_transfer->on_peer_lost(peer);
}

std::optional<Schema::PieceMap> CopyKeeper::held() const
{
    if (!m_spec || !m_manifest)
        return {};
    Schema::PieceMap map;
    map.model = m_manifest->model;
    map.version = m_manifest->version;
    map.chunks = m_store.held_of(*m_spec);
    map.is_seeking = is_seeking();
    return map;
}

void CopyKeeper::run_transfer(Core::Time now)
{
    for (auto const& action : m_transfer->step(now)) {
        if (auto const* fetch = std::get_if<Distribution::Fetch>(&action)) {
            start_fetch(*fetch);
        } else if (auto const* cancel = std::get_if<Distribution::CancelFetch>(&action)) {
            m_downloads.erase(cancel->id);
            m_fetch_chunks.erase(cancel->id);
        }
    }
}

void CopyKeeper::start_fetch(Distribution::Fetch const& fetch)
{
    m_fetch_chunks[fetch.id] = fetch.chunk;
    if (fetch.source.is_origin())
        fetch_from_origin(fetch);
    else
        fetch_from_peer(fetch);
}

void CopyKeeper::fetch_from_origin(Distribution::Fetch const& fetch)
{
    auto const version = m_manifest->version;
    auto const id = fetch.id;
    m_metrics.count("mountbarrow_fetches_total", "source=\"origin\"");
    m_origin.read_chunk(m_goal->origin_address, m_manifest->model, version, fetch.chunk, [this, id, version](Core::ErrorOr<std::string> bytes) {
        if (!m_manifest || m_manifest->version != version)
            return;
        if (!bytes.has_value()) {
            on_fetch_failed(id, FetchFailure::Unreachable);
            return;
        }
        Distribution::IncomingChunk chunk;
        chunk.append(*bytes);
        on_bytes(id, chunk, true);
    });
}

void CopyKeeper::fetch_from_peer(Distribution::Fetch const& fetch)
{
    Transport::HttpCallRequest call;
    call.address = fetch.source.peer;
    call.port = m_settings.chunk_port;
    call.path = "/chunks/" + m_spec->chunks[fetch.chunk].digest + "?held=" + std::to_string(m_transfer->held_count());
    call.timeout = m_settings.transfer.stall;
    auto download = std::make_unique<Download>();
    auto* raw = download.get();
    auto const id = fetch.id;
    m_downloads[id] = std::move(download);
    m_metrics.count("mountbarrow_fetches_total", "source=\"peer\"");
    raw->call = Transport::HttpCall::start(m_loop, call,
        { .head = [raw](int status, Transport::HttpHeaders const&) { raw->status = status; },
            .data = [this, raw, id](std::string_view slice) {
                if (raw->status == status_ok)
                    raw->bytes.append(slice);
                if (m_transfer)
                    m_transfer->on_progress(id, Core::monotonic_now()); },
            .done = [this, id] {
                auto node = m_downloads.extract(id);
                if (node.empty())
                    return;
                auto const& ended = node.mapped();
                if (ended->status == status_ok)
                    on_bytes(id, ended->bytes, false);
                else
                    on_fetch_failed(id, ended->status == status_unavailable ? FetchFailure::Busy : FetchFailure::Missing); },
            .failed = [this, id](Transport::HttpFailure) {
                m_downloads.erase(id);
                on_fetch_failed(id, FetchFailure::Unreachable); } });
}

void CopyKeeper::on_bytes(uint64_t fetch, Distribution::IncomingChunk& bytes, bool is_from_origin)
{
    auto const found = m_fetch_chunks.extract(fetch);
    if (found.empty() || !m_transfer)
        return;
    auto const chunk = found.mapped();
    auto const now = Core::monotonic_now();
    m_metrics.count("mountbarrow_weights_bytes_total", is_from_origin ? "source=\"origin\"" : "source=\"peer\"", bytes.size());
    auto const added = m_store.add(m_spec->chunks[chunk].digest, bytes);
    if (added == Distribution::ChunkStore::AddResult::Corrupt) {
        m_metrics.count("mountbarrow_chunks_corrupt_total");
        Core::log_event(Core::LogLevel::Warn, "chunk_corrupt", { { "chunk", std::to_string(chunk) }, { "version", std::to_string(m_manifest->version) }, { "source", is_from_origin ? "origin" : "peer" } });
        m_transfer->on_failed(fetch, FetchFailure::Corrupt, now);
        return;
    }
    m_metrics.count("mountbarrow_chunks_total", is_from_origin ? "source=\"origin\"" : "source=\"peer\"");
    m_transfer->on_fetched(fetch, now);
    hold_chunk(chunk);
    run_transfer(now);
}

void CopyKeeper::on_fetch_failed(uint64_t fetch, FetchFailure failure)
{
    if (m_fetch_chunks.erase(fetch) == 0 || !m_transfer)
        return;
    m_metrics.count("mountbarrow_fetch_failures_total", "reason=\"" + std::to_string(static_cast<int>(failure)) + "\"");
    m_transfer->on_failed(fetch, failure, Core::monotonic_now());
}

void CopyKeeper::hold_chunk(size_t chunk)
{
    Schema::PieceMap map;
    map.model = m_manifest->model;
    map.version = m_manifest->version;
    map.is_seeking = is_seeking();
    // The same bytes may stand at several places of a version.
    auto const& digest = m_spec->chunks[chunk].digest;
    for (size_t i = 0; i < m_spec->chunks.size(); ++i) {
        if (m_spec->chunks[i].digest != digest)
            continue;
        m_load->on_held(i);
        map.chunks.push_back(static_cast<int64_t>(i));
    }
    m_callbacks.announce(map);
    run_load(Core::monotonic_now());
    if (m_transfer->is_complete() && !std::exchange(m_is_complete, true))
        Core::log_event(Core::LogLevel::Info, "copy_complete", { { "version", std::to_string(m_manifest->version) }, { "after_ms", std::to_string((Core::monotonic_now() - m_goal_at).count()) }, { "origin_bytes", std::to_string(m_metrics.counter("mountbarrow_weights_bytes_total", "source=\"origin\"")) }, { "peer_bytes", std::to_string(m_metrics.counter("mountbarrow_weights_bytes_total", "source=\"peer\"")) } });
}

// Laying chunks beside the engine, and ordering it.

void CopyKeeper::run_load(Core::Time now)
{
    if (m_older && is_older_load_over(now))
        m_older.reset();
    // Only one version lies beside the engine: the newer one waits here until the older one is taken.
    if (m_older) {
        for (auto const& action : m_older->load->step(now, { may_switch(m_older->goal, m_older->goal_at, now), m_older->goal.may_evict }))
            perform(action, m_older->goal.version);
        return;
    }
    if (!m_load || m_adopting > 0)
        return;
    for (auto const& action : m_load->step(now, { may_switch(*m_goal, m_goal_at, now), m_goal->may_evict }))
        perform(action, m_goal->version);
}

void CopyKeeper::perform(Distribution::LoadAction const& action, int64_t version)
{
    if (auto const* stage_chunk = std::get_if<Distribution::StageChunk>(&action))
        stage(version, stage_chunk->chunk);
    else if (auto const* read = std::get_if<Distribution::ReadBackChunk>(&action))
        read_back(version, read->chunk);
    else if (auto const* due = std::get_if<Distribution::OrderLoad>(&action))
        order(version, *due);
}

void CopyKeeper::stage(int64_t version, size_t chunk)
{
    auto const bytes = m_store.find(spec_of(version).chunks[chunk].digest);
    m_engine.stage(m_goal->model, chunk, bytes ? *bytes : std::string(), [this, version, chunk](bool is_done) {
        auto* load = load_of(version);
        if (!load)
            return;
        load->on_staged(chunk, is_done);
        run_load(Core::monotonic_now());
    });
}

void CopyKeeper::read_back(int64_t version, size_t chunk)
{
    m_engine.read_staged(m_goal->model, chunk, [this, version, chunk](std::shared_ptr<std::string const> const& bytes) {
        auto* load = load_of(version);
        if (!load)
            return;
        bool const is_right = bytes && Core::sha256(*bytes) == spec_of(version).chunks[chunk].digest;
        if (!is_right)
            Core::log_event(Core::LogLevel::Warn, "staged_chunk_bad", { { "chunk", std::to_string(chunk) }, { "version", std::to_string(version) } });
        load->on_read_back(chunk, is_right, Core::monotonic_now());
        run_load(Core::monotonic_now());
    });
}

bool CopyKeeper::may_switch(Schema::WeightsGoal const& goal, Core::Time goal_at, Core::Time now) const
{
    // The bound comes before the capacity that others need: whoever is late goes at once. A version that was named
    // before this one and never got here has the earlier bound.
    auto const named_at = std::min(goal_at, m_unmet_since.value_or(goal_at));
    if (now >= named_at + Core::Duration(goal.bound_ms) - switch_reserve)
        return true;
    std::vector<std::string> ids { m_settings.identity };
    std::vector<std::string> ready;
    for (auto const& peer : goal.peers) {
        if (peer.identity == m_settings.identity)
            continue;
        ids.push_back(peer.identity);
        auto const served = m_peer_versions.find(peer.identity);
        if (served != m_peer_versions.end() && served->second >= goal.version)
            ready.push_back(peer.identity);
    }
    auto const slack = std::max<size_t>(1, ids.size() / switched_at_once);
    auto const ranked = Core::rendezvous_order(std::to_string(goal.version), std::move(ids));
    return Distribution::may_switch(m_settings.identity, ranked, ready, slack);
}

void CopyKeeper::order(int64_t version, Distribution::OrderLoad const& due)
{
    auto const goal_at = m_older && m_older->goal.version == version ? m_older->goal_at : m_goal_at;
    Core::log_event(Core::LogLevel::Info, "load_ordered", { { "version", std::to_string(version) }, { "expected_sequence", std::to_string(due.expected_sequence) }, { "manner", due.manner == Platform::LoadManner::EvictRunning ? "evict" : "wait" }, { "running", std::to_string(m_report ? m_report->running : 0) }, { "after_ms", std::to_string((Core::monotonic_now() - goal_at).count()) } });
    m_metrics.count("mountbarrow_load_orders_total");
    m_engine.start(m_goal->model, version, due.manner, due.expected_sequence, [this, version](Platform::OrderOutcome outcome) {
        Core::log_event(Core::LogLevel::Info, "load_answered", { { "version", std::to_string(version) }, { "outcome", std::to_string(static_cast<int>(outcome)) } });
        if (auto* load = load_of(version))
            load->on_ordered(outcome, Core::monotonic_now());
        poll_engine();
    });
}

// The engine's own report.

void CopyKeeper::poll_engine()
{
    if (std::exchange(m_is_polling, true))
        return;
    m_engine.read_report([this](Core::ErrorOr<Platform::EngineReport> const& report) {
        m_is_polling = false;
        on_report(report);
    });
}

void CopyKeeper::on_report(Core::ErrorOr<Platform::EngineReport> const& report)
{
    if (!report.has_value()) {
        m_report.reset();
        if (m_load)
            m_load->on_unreachable();
        if (m_older)
            m_older->load->on_unreachable();
    } else {
        m_report = *report;
        auto const now = Core::monotonic_now();
        if (m_load)
            m_load->on_report(*m_report, m_goal->layers, now);
        if (m_older)
            m_older->load->on_report(*m_report, m_older->goal.layers, now);
    }
    tell_change();
}

void CopyKeeper::tell_change()
{
    auto const is_busy = this->is_busy();
    auto const version = serving_version();
    if (version == m_last_version && is_busy == m_was_busy)
        return;
    Core::log_event(Core::LogLevel::Info, "engine_changed", { { "version", std::to_string(version) }, { "busy", is_busy ? "yes" : "no" }, { "reachable", m_report ? "yes" : "no" } });
    bool const is_other_version = version != m_last_version;
    if (m_goal && version == m_goal->version)
        m_unmet_since.reset();
    m_last_version = version;
    m_was_busy = is_busy;
    if (is_other_version && m_goal)
        tell_seeking();
    m_callbacks.changed();
}

}
