// SPDX-License-Identifier: BSD-2-Clause
#include "CopyFetcher.h"

#include <LibConfiguration/ReplayedState.h>
#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <algorithm>

namespace Weights {

using Distribution::FetchFailure;

static constexpr Core::Duration progress_interval { 500 };
// Of a chunk that the origin sent far away peers need one copy at once; what others then hold beside it is of use to them
// only if its first holder is lost.
static constexpr Core::Duration far_news_interval { 500 };
static constexpr Core::Duration manifest_retry { 700 };
// Nothing of a version can be read before its manifest: an origin that failed is asked for it again sooner than one that is slow.
static constexpr Core::Duration failed_manifest_retry { 250 };
// The origin's link is narrow, and a manifest takes as long as a seventh of a chunk: a few caches read it there, and the
// others wait this long for one that has it.
static constexpr Core::Duration cache_patience { 500 };
// SHA-256 in hexadecimal.
static constexpr size_t digest_characters = 64;
static constexpr int status_ok = 200;
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
    // What came since the last turn is still wanted by those that finish the version.
    announce_news();
    m_announced_far_at = Core::Time(0);
    announce_news_far(Core::monotonic_now());
    keep_as_older();
    if (m_goal && m_goal->model != goal.model)
        m_older.reset();
    m_goal = goal;
    m_named_at = named_at;
    m_turned_at = Core::monotonic_now();
    m_manifest_tries = 0;
    m_next_manifest_try = Core::Time(0);
    m_transfer.reset();
    m_downloads.clear();
    m_fetch_chunks.clear();
    cancel_origin_reads();
    m_unannounced.clear();
    m_unannounced_far.clear();
    m_has_origin_news = false;
    m_is_complete_told = false;
}

void CopyFetcher::update_sources()
{
    if (!m_transfer)
        return;
    auto sources = m_callbacks.sources();
    m_transfer->set_caches(std::move(sources.caches));
    m_transfer->set_targets(std::move(sources.targets));
    m_transfer->set_near(sources.near);
}

void CopyFetcher::turn(Core::Time now)
{
    if (!m_goal)
        return;
    if (!m_wanted)
        seek_manifest(now);
    if (m_transfer && m_callbacks.is_seeking(m_goal->version)) {
        run_transfer(now);
        log_progress(now);
    }
    announce_news();
    announce_news_far(now);
    drop_older_if_unneeded();
}

Distribution::TransferStand CopyFetcher::stand(int64_t newer, Core::Time now) const
{
    Distribution::TransferStand stand;
    if (!m_goal)
        return stand;
    stand.has_begun = is_under_way();
    stand.is_complete = is_complete();
    stand.chunks = m_transfer ? m_transfer->chunk_count() : 0;
    stand.held = m_transfer ? m_transfer->held_count() : 0;
    stand.is_newer_at_peers = m_peer_chunks.distinct_chunks(m_goal->model, newer) >= stand.chunks;
    stand.since_named = now - m_named_at;
    stand.bound = Core::Duration(m_goal->bound_ms);
    return stand;
}

// The version before.

bool CopyFetcher::is_whole(KnownVersion const& version) const
{
    return m_store.held_of(version.spec).size() == version.spec.chunks.size();
}

void CopyFetcher::keep_as_older()
{
    if (!m_wanted)
        return;
    auto ended = *std::exchange(m_wanted, {});
    // A whole version serves whoever is behind; of one that was given up unfinished, nobody may have the rest.
    bool const is_older_of_more_use = m_older && is_whole(*m_older) && !is_whole(ended);
    if (!is_older_of_more_use)
        m_older = std::move(ended);
}

void CopyFetcher::drop_older_if_unneeded()
{
    // Until the wanted version's manifest is here, it is not known which of the older chunks it shares.
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

// The manifest.

std::vector<std::string> CopyFetcher::peers_with_manifest() const
{
    std::vector<std::string> stocked;
    std::vector<std::string> others;
    for (auto const& [peer, chunks] : m_peer_chunks.holders_of(m_goal->model, m_goal->version))
        (chunks.empty() ? others : stocked).push_back(peer);
    // One that named no chunk yet may only be seeking the version, as this one is.
    return stocked.empty() ? others : stocked;
}

bool CopyFetcher::awaits_cache(Core::Time now) const
{
    if (now - m_turned_at >= cache_patience)
        return false;
    auto caches = m_callbacks.sources().caches;
    if (caches.empty())
        return false;
    auto const ranked = Core::rendezvous_order(m_goal->model + "/" + std::to_string(m_goal->version), std::move(caches));
    auto const readers_end = ranked.begin() + static_cast<ptrdiff_t>(std::min(m_settings.transfer.seeders, ranked.size()));
    return std::find(ranked.begin(), readers_end, m_settings.identity) == readers_end;
}

void CopyFetcher::seek_manifest(Core::Time now)
{
    if (now < m_next_manifest_try)
        return;
    auto const peers = peers_with_manifest();
    if (peers.empty() && awaits_cache(now))
        return;
    m_next_manifest_try = now + manifest_retry;
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
        if (manifest.has_value()) {
            take_manifest(*manifest, "origin");
            return;
        }
        m_metrics.count("mountbarrow_manifest_failures_total", "source=\"origin\"");
        m_next_manifest_try = std::min(m_next_manifest_try, Core::monotonic_now() + failed_manifest_retry);
    });
}

void CopyFetcher::read_manifest_from_peer(std::string const& peer)
{
    Transport::HttpCallRequest call;
    call.address = peer;
    call.port = m_settings.chunk_port;
    call.path = "/manifest?model=" + m_goal->model + "&version=" + std::to_string(m_goal->version);
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
    if (m_wanted || !m_goal)
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
    Schema::VersionSpec spec {};
    for (auto const& digest : manifest.digests)
        spec.chunks.push_back({ .bytes = manifest.chunk_bytes, .digest = digest });
    spec.digest = Configuration::weights_digest(spec.chunks);
    m_wanted = KnownVersion { manifest, std::move(spec) };
    Core::log_event(Core::LogLevel::Info, "manifest_taken", { { "source", source }, { "version", std::to_string(manifest.version) }, { "already_held", std::to_string(m_store.held_of(m_wanted->spec).size()) } });
    m_callbacks.manifest_taken();
}

void CopyFetcher::serve_manifest(Transport::HttpExchange& exchange) const
{
    auto const version = exchange.query("version");
    auto const is_asked_for = [&version](std::optional<KnownVersion> const& known) {
        return known && (!version || *version == std::to_string(known->manifest.version));
    };
    auto const& known = version && is_asked_for(m_older) ? m_older : m_wanted;
    if (!is_asked_for(known)) {
        exchange.reply(status_not_found, {}, {});
        return;
    }
    auto const& manifest = known->manifest;
    nlohmann::json const text { { "model", manifest.model }, { "version", manifest.version }, { "chunk_bytes", manifest.chunk_bytes }, { "digests", manifest.digests } };
    exchange.reply(status_ok, {}, text.dump());
}

// Moving chunks.

bool CopyFetcher::adopt(size_t chunk, std::string const& bytes)
{
    Distribution::IncomingChunk incoming;
    incoming.append(bytes);
    return m_store.add(m_wanted->spec.chunks[chunk].digest, incoming) == Distribution::ChunkStore::AddResult::Added;
}

void CopyFetcher::begin()
{
    auto const now = Core::monotonic_now();
    keep_needed_chunks();
    auto const held = m_store.held_of(m_wanted->spec);
    auto sources = m_callbacks.sources();
    m_transfer = std::make_unique<Distribution::Transfer>(m_wanted->spec, m_settings.identity, sources.targets, held, m_settings.transfer, Core::stable_hash(m_settings.identity, m_wanted->spec.digest), now);
    m_transfer->set_caches(std::move(sources.caches));
    m_transfer->set_near(sources.near);
    for (auto const& [peer, chunks] : m_peer_chunks.holders_of(m_wanted->manifest.model, m_wanted->manifest.version))
        m_transfer->on_peer_chunks(peer, { chunks.begin(), chunks.end() });
    for (auto chunk : held)
        m_callbacks.chunk_held(static_cast<size_t>(chunk));
    m_callbacks.announce(map_of(*m_wanted));
    if (m_callbacks.announce_far)
        m_callbacks.announce_far(map_of(*m_wanted));
    turn(now);
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

Schema::PieceMap CopyFetcher::map_of(KnownVersion const& known) const
{
    Schema::PieceMap map;
    map.model = known.manifest.model;
    map.version = known.manifest.version;
    map.chunks = m_store.held_of(known.spec);
    map.is_seeking = m_callbacks.is_seeking(map.version);
    return map;
}

std::vector<Schema::PieceMap> CopyFetcher::held() const
{
    std::vector<Schema::PieceMap> maps;
    if (m_older)
        maps.push_back(map_of(*m_older));
    if (m_wanted)
        maps.push_back(map_of(*m_wanted));
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
    m_origin_reads[id] = m_origin.read_chunk(m_goal->origin_address, m_wanted->manifest.model, version, fetch.chunk, [this, id, version](Core::ErrorOr<std::string> bytes) {
        m_origin_reads.erase(id);
        if (!m_wanted || m_wanted->manifest.version != version)
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
    // The same bytes may stand at several places of a version.
    auto const& digest = m_wanted->spec.chunks[chunk].digest;
    for (size_t i = 0; i < m_wanted->spec.chunks.size(); ++i) {
        if (m_wanted->spec.chunks[i].digest != digest)
            continue;
        m_unannounced.push_back(static_cast<int64_t>(i));
        m_unannounced_far.push_back(static_cast<int64_t>(i));
        m_callbacks.chunk_held(i);
    }
    m_has_origin_news = m_has_origin_news || is_from_origin;
    if (m_transfer->is_complete() && !std::exchange(m_is_complete_told, true))
        log_complete();
}

Schema::PieceMap CopyFetcher::news(std::vector<int64_t> chunks) const
{
    Schema::PieceMap map;
    map.model = m_wanted->manifest.model;
    map.version = m_wanted->manifest.version;
    map.is_seeking = m_callbacks.is_seeking(map.version);
    map.chunks = std::move(chunks);
    return map;
}

void CopyFetcher::announce_news()
{
    if (m_unannounced.empty())
        return;
    m_callbacks.announce(news(std::exchange(m_unannounced, {})));
}

void CopyFetcher::announce_news_far(Core::Time now)
{
    if (!m_callbacks.announce_far || m_unannounced_far.empty())
        return;
    if (!m_has_origin_news && now - m_announced_far_at < far_news_interval)
        return;
    m_announced_far_at = now;
    m_has_origin_news = false;
    m_callbacks.announce_far(news(std::exchange(m_unannounced_far, {})));
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
    Core::log_event(Core::LogLevel::Info, "copy_complete", { { "version", std::to_string(m_wanted->manifest.version) }, { "after_ms", std::to_string((Core::monotonic_now() - m_named_at).count()) }, { "origin_bytes", std::to_string(m_metrics.counter("mountbarrow_weights_bytes_total", "source=\"origin\"")) }, { "peer_bytes", std::to_string(m_metrics.counter("mountbarrow_weights_bytes_total", "source=\"peer\"")) } });
}

void CopyFetcher::log_progress(Core::Time now)
{
    if (m_transfer->is_complete() || now - m_progress_told_at < progress_interval)
        return;
    m_progress_told_at = now;
    Core::log_event(Core::LogLevel::Info, "transfer_progress", { { "version", std::to_string(m_wanted->manifest.version) }, { "held", std::to_string(m_transfer->held_count()) }, { "from_origin", std::to_string(m_metrics.counter("mountbarrow_chunks_total", "source=\"origin\"")) }, { "fetching", std::to_string(m_fetch_chunks.size()) }, { "held_nowhere", std::to_string(m_transfer->unheld().chunks) }, { "own_to_read", std::to_string(m_transfer->unheld().own) }, { "busy", std::to_string(m_metrics.counter("mountbarrow_fetch_failures_total", "reason=\"0\"")) }, { "after_ms", std::to_string((now - m_named_at).count()) } });
}

}
