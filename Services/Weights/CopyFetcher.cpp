// SPDX-License-Identifier: BSD-2-Clause
#include "CopyFetcher.h"

#include <LibConfiguration/ReplayedState.h>
#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <LibSchema/Json.h>
#include <algorithm>

namespace Weights {

using Distribution::FetchFailure;

static constexpr Core::Duration progress_interval { 500 };
// Peers in other regions need to know at once of the first copy of a chunk, which came from the origin. Further copies are of use to them
// only if the first holder is lost, so they are announced at this interval.
static constexpr Core::Duration other_regions_interval { 500 };
static constexpr Core::Duration manifest_retry { 700 };
// No chunk of a version can be read before its manifest is known, so the request is repeated sooner if the origin fails than if it is slow.
static constexpr Core::Duration failed_manifest_retry { 250 };
// The origin's link is slow, and a manifest takes as long as a seventh of a chunk. So a few caches read it from the origin, and the other
// instances wait this long for a peer that has it.
static constexpr Core::Duration cache_wait { 500 };
// SHA-256 in hexadecimal.
static constexpr size_t digest_characters = 64;
static constexpr int status_ok = 200;
// A chunk may wait for others at its source, and be read at a small part of the link.
static constexpr int chunk_timeout_factor = 10;
static constexpr int64_t least_bytes_per_millisecond = 100;
static constexpr int status_not_found = 404;
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
    if (is_same) {
        m_goal = goal;
        update_sources();
        return;
    }
    Core::log_event(Core::LogLevel::Info, "goal_changed", { { "model", goal.model }, { "version", std::to_string(goal.version) }, { "origin", goal.origin_address }, { "peers", std::to_string(goal.peers.size()) } });
    // Instances that still fetch the previous version need the chunks that arrived since the last announcement.
    announce_new_chunks();
    m_announced_to_other_regions_at = Core::Time(0);
    announce_new_chunks_to_other_regions(Core::monotonic_now());
    keep_as_older();
    if (m_goal && m_goal->model != goal.model)
        m_older.reset();
    m_goal = goal;
    m_named_at = named_at;
    m_goal_set_at = Core::monotonic_now();
    m_manifest_attempts = 0;
    m_next_manifest_attempt = Core::Time(0);
    m_transfer.reset();
    m_downloads.clear();
    m_fetch_chunks.clear();
    cancel_origin_reads();
    m_unannounced.clear();
    m_unannounced_to_other_regions.clear();
    m_has_unannounced_origin_chunk = false;
    m_is_complete_logged = false;
}

void CopyFetcher::update_sources()
{
    if (!m_transfer)
        return;
    auto sources = m_callbacks.sources();
    m_transfer->set_caches(std::move(sources.caches));
    m_transfer->set_targets(std::move(sources.targets));
    m_transfer->set_region_instances(sources.same_region);
}

void CopyFetcher::advance(Core::Time now)
{
    if (!m_goal)
        return;
    if (!m_wanted)
        request_manifest(now);
    if (m_transfer && m_callbacks.is_seeking(m_goal->version)) {
        run_transfer(now);
        log_progress(now);
    }
    announce_new_chunks();
    announce_new_chunks_to_other_regions(now);
    drop_older_if_unneeded();
}

Distribution::TransferProgress CopyFetcher::transfer_progress(int64_t newer, Core::Time now) const
{
    Distribution::TransferProgress progress;
    if (!m_goal)
        return progress;
    progress.has_begun = can_be_fetched();
    progress.is_complete = is_complete();
    progress.chunk_count = m_transfer ? m_transfer->chunk_count() : 0;
    progress.held_count = m_transfer ? m_transfer->held_count() : 0;
    progress.is_newer_held_by_peers = m_peer_chunks.distinct_chunks(m_goal->model, newer) >= progress.chunk_count;
    progress.time_since_named = now - m_named_at;
    progress.version_time_limit = Core::Duration(m_goal->bound_ms);
    return progress;
}

// Keeping and dropping the previous version.

bool CopyFetcher::is_whole(KnownVersion const& version) const
{
    return m_store.held_chunk_indices(version.spec).size() == version.spec.chunks.size();
}

void CopyFetcher::keep_as_older()
{
    if (!m_wanted)
        return;
    auto ended = *std::exchange(m_wanted, {});
    // A complete version is of use to instances that are behind. The missing chunks of an incomplete one may be held by no instance.
    bool const is_older_of_more_use = m_older && is_whole(*m_older) && !is_whole(ended);
    if (!is_older_of_more_use)
        m_older = std::move(ended);
}

void CopyFetcher::drop_older_if_unneeded()
{
    // Until the wanted version's manifest is known, it is not known which chunks both versions have.
    if (!m_older || !m_transfer || m_callbacks.is_lacked(m_older->manifest.version))
        return;
    Core::log_event(Core::LogLevel::Info, "older_copy_dropped", { { "version", std::to_string(m_older->manifest.version) } });
    m_older.reset();
    keep_needed_chunks();
}

void CopyFetcher::keep_needed_chunks()
{
    std::vector<Schema::VersionSpec const*> needed { &m_wanted->spec };
    if (m_older)
        needed.push_back(&m_older->spec);
    if (auto const* used = m_callbacks.also_used())
        needed.push_back(used);
    m_store.keep_only(needed);
}

// Requesting and serving the manifest.

std::vector<std::string> CopyFetcher::peers_with_manifest() const
{
    std::vector<std::string> peers_with_chunks;
    std::vector<std::string> others;
    for (auto const& [peer, chunks] : m_peer_chunks.holders_of(m_goal->model, m_goal->version))
        (chunks.empty() ? others : peers_with_chunks).push_back(peer);
    // A peer that has announced no chunk may not have the manifest either.
    return peers_with_chunks.empty() ? others : peers_with_chunks;
}

bool CopyFetcher::should_wait_for_cache(Core::Time now) const
{
    if (now - m_goal_set_at >= cache_wait)
        return false;
    auto caches = m_callbacks.sources().caches;
    if (caches.empty())
        return false;
    auto const ranked = Core::rendezvous_order(m_goal->model + "/" + std::to_string(m_goal->version), std::move(caches));
    auto const readers_end = ranked.begin() + static_cast<ptrdiff_t>(std::min(m_settings.transfer.seeders, ranked.size()));
    return std::find(ranked.begin(), readers_end, m_settings.identity) == readers_end;
}

void CopyFetcher::request_manifest(Core::Time now)
{
    if (now < m_next_manifest_attempt)
        return;
    auto const peers = peers_with_manifest();
    if (peers.empty() && should_wait_for_cache(now))
        return;
    m_next_manifest_attempt = now + manifest_retry;
    m_manifest_attempts += 1;
    // Every second attempt goes to the origin.
    bool const is_peers_turn = !peers.empty() && m_manifest_attempts % 2 == 1;
    if (is_peers_turn)
        read_manifest_from_peer(peers[Core::stable_hash(m_settings.identity, std::to_string(m_manifest_attempts)) % peers.size()]);
    else if (!m_goal->origin_address.empty())
        read_manifest_from_origin();
}

void CopyFetcher::read_manifest_from_origin()
{
    m_origin.read_manifest(m_goal->origin_address, m_goal->model, m_goal->version, [this](Core::ErrorOr<Platform::Manifest> manifest) {
        if (manifest.has_value()) {
            accept_manifest(*manifest, "origin");
            return;
        }
        m_metrics.count("mountbarrow_manifest_failures_total", "source=\"origin\"");
        m_next_manifest_attempt = std::min(m_next_manifest_attempt, Core::monotonic_now() + failed_manifest_retry);
    });
}

void CopyFetcher::read_manifest_from_peer(std::string const& peer)
{
    Transport::HttpCallRequest call;
    call.address = peer;
    call.port = m_settings.chunk_port;
    call.path = "/manifest?model=" + m_goal->model + "&version=" + std::to_string(m_goal->version);
    call.timeout = manifest_retry;
    call.max_body_bytes = Platform::max_manifest_bytes;
    m_client.call(call, [this, peer](auto answer) {
        if (!answer.has_value() || answer->status != status_ok)
            return;
        auto const value = Schema::parse(answer->body);
        if (!value.is_object())
            return;
        Platform::Manifest manifest;
        manifest.model = value.value("model", "");
        manifest.version = value.value("version", int64_t { 0 });
        manifest.chunk_bytes = value.value("chunk_bytes", int64_t { 0 });
        manifest.digests = value.value("digests", std::vector<std::string> {});
        accept_manifest(manifest, peer);
    });
}

void CopyFetcher::accept_manifest(Platform::Manifest const& manifest, std::string const& source)
{
    if (m_wanted || !m_goal)
        return;
    bool const is_wanted = manifest.model == m_goal->model && manifest.version == m_goal->version;
    // If the configuration does not say how many chunks the version has, the manifest's number is accepted.
    bool const is_whole = m_goal->chunks > 0 ? manifest.digests.size() == static_cast<size_t>(m_goal->chunks) : !manifest.digests.empty();
    bool const has_valid_digests = std::all_of(manifest.digests.begin(), manifest.digests.end(), [](auto const& digest) { return digest.size() == digest_characters; });
    bool const has_valid_size = manifest.chunk_bytes > 0 && manifest.chunk_bytes <= Platform::max_chunk_bytes;
    if (!is_wanted || !is_whole || !has_valid_digests || !has_valid_size) {
        m_metrics.count("mountbarrow_manifest_failures_total", "source=\"spoilt\"");
        Core::log_event(Core::LogLevel::Warn, "manifest_refused", { { "source", source }, { "version", std::to_string(manifest.version) }, { "digests", std::to_string(manifest.digests.size()) } });
        return;
    }
    Schema::VersionSpec spec {};
    for (auto const& digest : manifest.digests)
        spec.chunks.push_back({ .bytes = manifest.chunk_bytes, .digest = digest });
    spec.digest = Configuration::weights_digest(spec.chunks);
    m_wanted = KnownVersion { manifest, std::move(spec) };
    Core::log_event(Core::LogLevel::Info, "manifest_taken", { { "source", source }, { "version", std::to_string(manifest.version) }, { "already_held", std::to_string(m_store.held_chunk_indices(m_wanted->spec).size()) } });
    m_callbacks.manifest_accepted();
}

void CopyFetcher::serve_manifest(Transport::HttpExchange& exchange) const
{
    auto const version = exchange.query("version");
    auto const is_requested = [&version](std::optional<KnownVersion> const& known) {
        return known && (!version || *version == std::to_string(known->manifest.version));
    };
    auto const& known = version && is_requested(m_older) ? m_older : m_wanted;
    if (!is_requested(known)) {
        exchange.reply(status_not_found, {}, {});
        return;
    }
    auto const& manifest = known->manifest;
    nlohmann::json const text { { "model", manifest.model }, { "version", manifest.version }, { "chunk_bytes", manifest.chunk_bytes }, { "digests", manifest.digests } };
    exchange.reply(status_ok, {}, text.dump());
}

// Fetching and announcing chunks.

bool CopyFetcher::add_local_chunk(size_t chunk, std::string const& bytes)
{
    Distribution::IncomingChunk incoming;
    incoming.append(bytes);
    return m_store.add(m_wanted->spec.chunks[chunk].digest, incoming) == Distribution::ChunkStore::AddResult::Added;
}

void CopyFetcher::begin()
{
    auto const now = Core::monotonic_now();
    keep_needed_chunks();
    auto const held = m_store.held_chunk_indices(m_wanted->spec);
    auto sources = m_callbacks.sources();
    m_transfer = std::make_unique<Distribution::Transfer>(m_wanted->spec, m_settings.identity, sources.targets, held, m_settings.transfer, Core::stable_hash(m_settings.identity, m_wanted->spec.digest), now);
    m_transfer->set_caches(std::move(sources.caches));
    m_transfer->set_region_instances(sources.same_region);
    for (auto const& [peer, chunks] : m_peer_chunks.holders_of(m_wanted->manifest.model, m_wanted->manifest.version))
        m_transfer->on_peer_chunks(peer, { chunks.begin(), chunks.end() });
    for (auto chunk : held)
        m_callbacks.chunk_held(static_cast<size_t>(chunk));
    m_callbacks.announce(piece_map_of(*m_wanted));
    if (m_callbacks.announce_to_other_regions)
        m_callbacks.announce_to_other_regions(piece_map_of(*m_wanted));
    advance(now);
}

void CopyFetcher::on_peer_pieces(std::string const& peer, Schema::PieceMap const& map)
{
    m_peer_chunks.add(peer, map);
    bool const is_wanted_version = m_goal && map.version == m_goal->version && map.model == m_goal->model;
    if (is_wanted_version && m_transfer)
        m_transfer->on_peer_chunks(peer, map.chunks);
}

void CopyFetcher::on_peer_down(std::string const& peer)
{
    m_peer_chunks.forget(peer);
    if (m_transfer)
        m_transfer->on_peer_lost(peer);
}

Schema::PieceMap CopyFetcher::piece_map_of(KnownVersion const& known) const
{
    Schema::PieceMap map;
    map.model = known.manifest.model;
    map.version = known.manifest.version;
    map.chunks = m_store.held_chunk_indices(known.spec);
    map.is_seeking = m_callbacks.is_seeking(map.version);
    return map;
}

std::vector<Schema::PieceMap> CopyFetcher::held() const
{
    std::vector<Schema::PieceMap> maps;
    if (m_older)
        maps.push_back(piece_map_of(*m_older));
    if (m_wanted)
        maps.push_back(piece_map_of(*m_wanted));
    return maps;
}

void CopyFetcher::run_transfer(Core::Time now)
{
    for (auto const& action : m_transfer->step(now)) {
        if (auto const* fetch = std::get_if<Distribution::Fetch>(&action)) {
            start_fetch(*fetch);
        } else if (auto const* cancel = std::get_if<Distribution::CancelFetch>(&action)) {
            m_downloads.erase(cancel->id);
            m_fetch_chunks.erase(cancel->id);
            if (auto const read = m_origin_reads.extract(cancel->id))
                m_origin.cancel(read.mapped());
        }
    }
}

void CopyFetcher::start_fetch(Distribution::Fetch const& fetch)
{
    m_fetch_chunks[fetch.id] = fetch.chunk;
    if (fetch.is_duplicate) {
        m_metrics.count("mountbarrow_duplicate_reads_total");
        Core::log_event(Core::LogLevel::Info, "slow_read_doubled", { { "chunk", std::to_string(fetch.chunk) }, { "second_source", fetch.source.peer } });
    }
    if (fetch.source.is_origin())
        fetch_from_origin(fetch);
    else
        fetch_from_peer(fetch);
}

void CopyFetcher::fetch_from_origin(Distribution::Fetch const& fetch)
{
    auto const version = m_wanted->manifest.version;
    auto const id = fetch.id;
    m_metrics.count("mountbarrow_fetches_total", "source=\"origin\"");
    m_origin_reads[id] = m_origin.read_chunk(m_goal->origin_address, m_wanted->manifest.model, version, fetch.chunk, static_cast<size_t>(m_wanted->manifest.chunk_bytes), [this, id, version](Core::ErrorOr<std::string> bytes) {
        m_origin_reads.erase(id);
        if (!m_wanted || m_wanted->manifest.version != version)
            return;
        log_origin_change(bytes);
        if (!bytes.has_value()) {
            on_fetch_failed(id, FetchFailure::Unreachable);
            return;
        }
        Distribution::IncomingChunk chunk;
        chunk.append(*bytes);
        on_bytes(id, chunk, true);
    });
}

void CopyFetcher::cancel_origin_reads()
{
    for (auto const& [fetch, read] : std::exchange(m_origin_reads, {}))
        m_origin.cancel(read);
}

void CopyFetcher::fetch_from_peer(Distribution::Fetch const& fetch)
{
    Transport::HttpCallRequest call;
    call.address = fetch.source.peer;
    call.port = m_settings.chunk_port;
    call.path = "/chunks/" + m_wanted->spec.chunks[fetch.chunk].digest + "?held=" + std::to_string(m_transfer->held_count());
    if (m_settings.is_cache)
        call.path += "&for=cache";
    call.timeout = m_settings.transfer.stall_timeout;
    call.total_timeout = call.timeout * chunk_timeout_factor + Core::Duration(m_wanted->manifest.chunk_bytes / least_bytes_per_millisecond);
    call.max_body_bytes = static_cast<size_t>(m_wanted->manifest.chunk_bytes);
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
    auto const added = m_store.add(m_wanted->spec.chunks[chunk].digest, bytes);
    if (added == Distribution::ChunkStore::AddResult::Corrupt) {
        m_metrics.count("mountbarrow_chunks_corrupt_total");
        Core::log_event(Core::LogLevel::Warn, "chunk_corrupt", { { "chunk", std::to_string(chunk) }, { "version", std::to_string(m_wanted->manifest.version) }, { "source", is_from_origin ? "origin" : "peer" } });
        m_transfer->on_failed(fetch, FetchFailure::Corrupt, now);
        return;
    }
    m_metrics.count("mountbarrow_chunks_total", is_from_origin ? "source=\"origin\"" : "source=\"peer\"");
    m_transfer->on_fetched(fetch, now);
    hold_chunk(chunk, is_from_origin);
    run_transfer(now);
}

void CopyFetcher::on_fetch_failed(uint64_t fetch, FetchFailure failure)
{
    if (m_fetch_chunks.erase(fetch) == 0 || !m_transfer)
        return;
    m_metrics.count("mountbarrow_fetch_failures_total", "reason=\"" + std::to_string(static_cast<int>(failure)) + "\"");
    m_transfer->on_failed(fetch, failure, Core::monotonic_now());
}

void CopyFetcher::hold_chunk(size_t chunk, bool is_from_origin)
{
    // Several chunks of a version may have the same bytes.
    auto const& digest = m_wanted->spec.chunks[chunk].digest;
    for (size_t i = 0; i < m_wanted->spec.chunks.size(); ++i) {
        if (m_wanted->spec.chunks[i].digest != digest)
            continue;
        m_unannounced.push_back(static_cast<int64_t>(i));
        m_unannounced_to_other_regions.push_back(static_cast<int64_t>(i));
        m_callbacks.chunk_held(i);
    }
    m_has_unannounced_origin_chunk = m_has_unannounced_origin_chunk || is_from_origin;
    if (m_transfer->is_complete() && !std::exchange(m_is_complete_logged, true))
        log_complete();
}

Schema::PieceMap CopyFetcher::announcement_of(std::vector<int64_t> chunks) const
{
    Schema::PieceMap map;
    map.model = m_wanted->manifest.model;
    map.version = m_wanted->manifest.version;
    map.is_seeking = m_callbacks.is_seeking(map.version);
    map.chunks = std::move(chunks);
    return map;
}

void CopyFetcher::announce_new_chunks()
{
    if (m_unannounced.empty())
        return;
    m_callbacks.announce(announcement_of(std::exchange(m_unannounced, {})));
}

void CopyFetcher::announce_new_chunks_to_other_regions(Core::Time now)
{
    if (!m_callbacks.announce_to_other_regions || m_unannounced_to_other_regions.empty())
        return;
    if (!m_has_unannounced_origin_chunk && now - m_announced_to_other_regions_at < other_regions_interval)
        return;
    m_announced_to_other_regions_at = now;
    m_has_unannounced_origin_chunk = false;
    m_callbacks.announce_to_other_regions(announcement_of(std::exchange(m_unannounced_to_other_regions, {})));
}

// Log records.

void CopyFetcher::log_origin_change(Core::ErrorOr<std::string> const& answer)
{
    // Requests are repeated while the origin fails, so only the first failure and the first success after it are logged.
    bool const was_failing = std::exchange(m_is_origin_failing, !answer.has_value());
    if (!answer.has_value() && !was_failing)
        Core::log_event(Core::LogLevel::Warn, "origin_lost", { { "origin", m_goal->origin_address }, { "reason", answer.error().detail } });
    else if (answer.has_value() && was_failing)
        Core::log_event(Core::LogLevel::Info, "origin_regained", { { "origin", m_goal->origin_address } });
}

void CopyFetcher::log_complete() const
{
    Core::log_event(Core::LogLevel::Info, "copy_complete", { { "version", std::to_string(m_wanted->manifest.version) }, { "after_ms", std::to_string((Core::monotonic_now() - m_named_at).count()) }, { "origin_bytes", std::to_string(m_metrics.counter("mountbarrow_weights_bytes_total", "source=\"origin\"")) }, { "peer_bytes", std::to_string(m_metrics.counter("mountbarrow_weights_bytes_total", "source=\"peer\"")) } });
}

void CopyFetcher::log_progress(Core::Time now)
{
    if (m_transfer->is_complete() || now - m_progress_logged_at < progress_interval)
        return;
    m_progress_logged_at = now;
    Core::log_event(Core::LogLevel::Info, "transfer_progress", { { "version", std::to_string(m_wanted->manifest.version) }, { "held", std::to_string(m_transfer->held_count()) }, { "from_origin", std::to_string(m_metrics.counter("mountbarrow_chunks_total", "source=\"origin\"")) }, { "fetching", std::to_string(m_fetch_chunks.size()) }, { "held_nowhere", std::to_string(m_transfer->unheld().chunks) }, { "own_to_read", std::to_string(m_transfer->unheld().assigned) }, { "busy", std::to_string(m_metrics.counter("mountbarrow_fetch_failures_total", "reason=\"0\"")) }, { "after_ms", std::to_string((now - m_named_at).count()) } });
}

}
