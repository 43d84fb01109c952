// SPDX-License-Identifier: BSD-2-Clause
#include "CopyFetcher.h"

#include <LibConfiguration/Fold.h>
#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <algorithm>

namespace Weights {

using Distribution::FetchFailure;

static constexpr Core::Duration progress_interval { 500 };
static constexpr Core::Duration manifest_retry { 700 };
// The origin's link is narrow: caches read the manifest there, and the others wait this long for one that has it.
static constexpr Core::Duration cache_patience { 500 };
// SHA-256 in hexadecimal.
static constexpr size_t digest_characters = 64;
static constexpr int status_ok = 200;
static constexpr int status_unavailable = 503;

CopyFetcher::CopyFetcher(Core::EventLoop& loop, CopyFetcherSettings settings, Core::Metrics& metrics, Platform::WeightOrigin& origin, Callbacks callbacks)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_origin(origin)
    , m_callbacks(std::move(callbacks))
    , m_client(loop)
{
}

CopyFetcher::~CopyFetcher() = default;

void CopyFetcher::set_goal(Schema::WeightsGoal const& goal, Core::Time named_at)
{
    bool const is_same = m_goal && m_goal->version == goal.version && m_goal->model == goal.model;
    m_goal = goal;
    if (is_same) {
        update_sources();
        return;
    }
    Core::log_event(Core::LogLevel::Info, "goal_changed", { { "model", goal.model }, { "version", std::to_string(goal.version) }, { "origin", goal.origin_address }, { "peers", std::to_string(goal.peers.size()) } });
    m_named_at = named_at;
    m_turned_at = Core::monotonic_now();
    m_manifest.reset();
    m_manifest_text.clear();
    m_manifest_tries = 0;
    m_manifest_asked_at = Core::Time(0);
    m_spec.reset();
    m_transfer.reset();
    m_downloads.clear();
    m_fetch_chunks.clear();
    m_unannounced.clear();
    m_is_complete_told = false;
}

void CopyFetcher::update_sources()
{
    if (!m_transfer)
        return;
    auto sources = m_callbacks.sources();
    m_transfer->set_caches(std::move(sources.caches));
    m_transfer->set_targets(std::move(sources.targets));
    m_transfer->set_near(std::move(sources.near));
}

void CopyFetcher::turn(Core::Time now)
{
    if (!m_goal)
        return;
    if (!m_manifest)
        seek_manifest(now);
    if (m_transfer && m_callbacks.is_seeking()) {
        run_transfer(now);
        log_progress(now);
    }
    announce_news();
}

// The manifest.

std::vector<std::string> CopyFetcher::peers_with_manifest() const
{
    std::vector<std::string> stocked;
    std::vector<std::string> others;
    for (auto const& [peer, chunks] : m_peer_chunks) {
        if (chunks.first == m_goal->version)
            (chunks.second.empty() ? others : stocked).push_back(peer);
    }
    // One that named no chunk yet may only be seeking the version, as this one is.
    return stocked.empty() ? others : stocked;
}

bool CopyFetcher::awaits_cache(Core::Time now) const
{
    return !m_settings.is_cache && !m_callbacks.sources().caches.empty() && now - m_turned_at < cache_patience;
}

void CopyFetcher::seek_manifest(Core::Time now)
{
    if (now - m_manifest_asked_at < manifest_retry && m_manifest_tries > 0)
        return;
    auto const peers = peers_with_manifest();
    if (peers.empty() && awaits_cache(now))
        return;
    m_manifest_asked_at = now;
    m_manifest_tries += 1;
    // Every other try goes to the origin.
    bool const is_peers_turn = !peers.empty() && m_manifest_tries % 2 == 1;
    if (is_peers_turn)
        read_manifest_from_peer(peers[Core::stable_hash(m_settings.identity, std::to_string(m_manifest_tries)) % peers.size()]);
    else if (!m_goal->origin_address.empty())
        read_manifest_from_origin();
}

void CopyFetcher::read_manifest_from_origin()
{
    m_origin.read_manifest(m_goal->origin_address, m_goal->model, m_goal->version, [this](Core::ErrorOr<Platform::Manifest> manifest) {
        if (manifest.has_value())
            take_manifest(*manifest, "origin");
        else
            m_metrics.count("mountbarrow_manifest_failures_total", "source=\"origin\"");
    });
}

void CopyFetcher::read_manifest_from_peer(std::string const& peer)
{
    Transport::HttpCallRequest call;
    call.address = peer;
    call.port = m_settings.chunk_port;
    call.path = "/manifest?model=" + m_goal->model;
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

void CopyFetcher::take_manifest(Platform::Manifest const& manifest, std::string const& source)
{
    if (m_manifest || !m_goal)
        return;
    bool const is_wanted = manifest.model == m_goal->model && manifest.version == m_goal->version;
    // Where the configuration does not say how many chunks there are, the manifest does.
    bool const is_whole = m_goal->chunks > 0 ? manifest.digests.size() == static_cast<size_t>(m_goal->chunks) : !manifest.digests.empty();
    bool const is_sound = std::all_of(manifest.digests.begin(), manifest.digests.end(), [](auto const& digest) { return digest.size() == digest_characters; });
    if (!is_wanted || !is_whole || !is_sound) {
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
    m_callbacks.manifest_taken();
}

// Moving chunks.

bool CopyFetcher::adopt(size_t chunk, std::string const& bytes)
{
    Distribution::IncomingChunk incoming;
    incoming.append(bytes);
    return m_store.add(m_spec->chunks[chunk].digest, incoming) == Distribution::ChunkStore::AddResult::Added;
}

void CopyFetcher::begin(Schema::VersionSpec const* also_kept)
{
    auto const now = Core::monotonic_now();
    std::vector<Schema::VersionSpec const*> wanted { &*m_spec };
    if (also_kept)
        wanted.push_back(also_kept);
    m_store.keep_only(wanted);
    auto const held = m_store.held_of(*m_spec);
    auto sources = m_callbacks.sources();
    m_transfer = std::make_unique<Distribution::Transfer>(*m_spec, m_settings.identity, sources.targets, held, m_settings.transfer, Core::stable_hash(m_settings.identity, m_spec->digest), now);
    m_transfer->set_caches(std::move(sources.caches));
    m_transfer->set_near(std::move(sources.near));
    for (auto const& [peer, chunks] : m_peer_chunks) {
        if (chunks.first == m_manifest->version)
            m_transfer->on_peer_chunks(peer, { chunks.second.begin(), chunks.second.end() });
    }
    for (auto chunk : held)
        m_callbacks.chunk_held(static_cast<size_t>(chunk));
    if (auto const map = this->held())
        m_callbacks.announce(*map);
    turn(now);
}

void CopyFetcher::on_peer_pieces(std::string const& peer, Schema::PieceMap const& map)
{
    auto& known = m_peer_chunks[peer];
    if (known.first != map.version)
        known = { map.version, {} };
    known.second.insert(map.chunks.begin(), map.chunks.end());
    bool const is_wanted_version = m_goal && map.version == m_goal->version;
    if (is_wanted_version && m_transfer)
        m_transfer->on_peer_chunks(peer, map.chunks);
}

void CopyFetcher::on_peer_down(std::string const& peer)
{
    m_peer_chunks.erase(peer);
    if (m_transfer)
        m_transfer->on_peer_lost(peer);
}

std::optional<Schema::PieceMap> CopyFetcher::held() const
{
    if (!m_spec || !m_manifest)
        return {};
    Schema::PieceMap map;
    map.model = m_manifest->model;
    map.version = m_manifest->version;
    map.chunks = m_store.held_of(*m_spec);
    map.is_seeking = m_callbacks.is_seeking();
    return map;
}

void CopyFetcher::run_transfer(Core::Time now)
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

void CopyFetcher::start_fetch(Distribution::Fetch const& fetch)
{
    m_fetch_chunks[fetch.id] = fetch.chunk;
    if (fetch.source.is_origin())
        fetch_from_origin(fetch);
    else
        fetch_from_peer(fetch);
}

void CopyFetcher::fetch_from_origin(Distribution::Fetch const& fetch)
{
    auto const version = m_manifest->version;
    auto const id = fetch.id;
    m_metrics.count("mountbarrow_fetches_total", "source=\"origin\"");
    m_origin.read_chunk(m_goal->origin_address, m_manifest->model, version, fetch.chunk, [this, id, version](Core::ErrorOr<std::string> bytes) {
        if (!m_manifest || m_manifest->version != version)
            return;
        note_origin(bytes);
        if (!bytes.has_value()) {
            on_fetch_failed(id, FetchFailure::Unreachable);
            return;
        }
        Distribution::IncomingChunk chunk;
        chunk.append(*bytes);
        on_bytes(id, chunk, true);
    });
}

void CopyFetcher::fetch_from_peer(Distribution::Fetch const& fetch)
{
    Transport::HttpCallRequest call;
    call.address = fetch.source.peer;
    call.port = m_settings.chunk_port;
    call.path = "/chunks/" + m_spec->chunks[fetch.chunk].digest + "?held=" + std::to_string(m_transfer->held_count());
    if (m_settings.is_cache)
        call.path += "&for=cache";
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

void CopyFetcher::on_bytes(uint64_t fetch, Distribution::IncomingChunk& bytes, bool is_from_origin)
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

void CopyFetcher::on_fetch_failed(uint64_t fetch, FetchFailure failure)
{
    if (m_fetch_chunks.erase(fetch) == 0 || !m_transfer)
        return;
    m_metrics.count("mountbarrow_fetch_failures_total", "reason=\"" + std::to_string(static_cast<int>(failure)) + "\"");
    m_transfer->on_failed(fetch, failure, Core::monotonic_now());
}

void CopyFetcher::hold_chunk(size_t chunk)
{
    // The same bytes may stand at several places of a version.
    auto const& digest = m_spec->chunks[chunk].digest;
    for (size_t i = 0; i < m_spec->chunks.size(); ++i) {
        if (m_spec->chunks[i].digest != digest)
            continue;
        m_unannounced.push_back(static_cast<int64_t>(i));
        m_callbacks.chunk_held(i);
    }
    if (m_transfer->is_complete() && !std::exchange(m_is_complete_told, true))
        log_complete();
}

void CopyFetcher::announce_news()
{
    if (m_unannounced.empty())
        return;
    Schema::PieceMap map;
    map.model = m_manifest->model;
    map.version = m_manifest->version;
    map.is_seeking = m_callbacks.is_seeking();
    map.chunks = std::exchange(m_unannounced, {});
    m_callbacks.announce(map);
}

// What the log says of it.

void CopyFetcher::note_origin(Core::ErrorOr<std::string> const& answer)
{
    // While it fails it is asked again and again: only a change is worth a line.
    bool const was_failing = std::exchange(m_is_origin_failing, !answer.has_value());
    if (!answer.has_value() && !was_failing)
        Core::log_event(Core::LogLevel::Warn, "origin_lost", { { "origin", m_goal->origin_address }, { "reason", answer.error().detail } });
    else if (answer.has_value() && was_failing)
        Core::log_event(Core::LogLevel::Info, "origin_regained", { { "origin", m_goal->origin_address } });
}

void CopyFetcher::log_complete() const
{
    Core::log_event(Core::LogLevel::Info, "copy_complete", { { "version", std::to_string(m_manifest->version) }, { "after_ms", std::to_string((Core::monotonic_now() - m_named_at).count()) }, { "origin_bytes", std::to_string(m_metrics.counter("mountbarrow_weights_bytes_total", "source=\"origin\"")) }, { "peer_bytes", std::to_string(m_metrics.counter("mountbarrow_weights_bytes_total", "source=\"peer\"")) } });
}

void CopyFetcher::log_progress(Core::Time now)
{
    if (m_transfer->is_complete() || now - m_progress_told_at < progress_interval)
        return;
    m_progress_told_at = now;
    Core::log_event(Core::LogLevel::Info, "transfer_progress", { { "version", std::to_string(m_manifest->version) }, { "held", std::to_string(m_transfer->held_count()) }, { "from_origin", std::to_string(m_metrics.counter("mountbarrow_chunks_total", "source=\"origin\"")) }, { "fetching", std::to_string(m_fetch_chunks.size()) }, { "busy", std::to_string(m_metrics.counter("mountbarrow_fetch_failures_total", "reason=\"0\"")) }, { "after_ms", std::to_string((now - m_named_at).count()) } });
}

}
