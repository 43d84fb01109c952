// SPDX-License-Identifier: BSD-2-Clause
#include "WeightsRunner.h"

#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <LibSchema/Json.h>
#include <algorithm>

namespace Agent {

static constexpr Core::Duration turn_interval { 20 };
static constexpr Core::Duration engine_poll_interval { 200 };
static constexpr Core::Duration engine_call_timeout { 5000 };
static constexpr Core::Duration load_timeout { 600000 };
// A surplus copy, and the chunks of a version that was replaced, go only after this.
static constexpr Core::Duration hold_down { 10000 };
static constexpr size_t neighbours_per_widening = 4;
static constexpr size_t versions_remembered_per_peer = 4;
static constexpr size_t max_status_bytes = size_t { 1 } << 20;
static constexpr int status_ok = 200;
static constexpr int status_unavailable = 503;

WeightsRunner::WeightsRunner(Core::EventLoop& loop, WeightsRunnerSettings settings, Core::Metrics& metrics, Callbacks callbacks)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_client(loop)
    , m_download_limit(std::make_unique<Transport::RateLimit>(loop, m_settings.download_bytes_per_second, 0))
    , m_chunk_server(loop, m_settings.uploads, metrics, m_store)
    , m_turn_timer(loop.every(turn_interval, [this] { turn(); }))
{
    if (m_settings.has_engine)
        m_poll_timer = loop.every(engine_poll_interval, [this] { poll_engine(); });
}

WeightsRunner::~WeightsRunner() = default;

void WeightsRunner::update(Configuration::ReplayedState const& replayed_state, Membership::InstanceList const& list)
{
    if (!m_settings.has_engine)
        return;
    auto const assignment = Placement::assign(replayed_state, list);
    auto const name = Placement::rollout_of(assignment, m_settings.identity);
    if (name.empty()) {
        release();
        auto const successors = assignment.find(m_released_rollout);
        m_successors = successors == assignment.end() ? std::vector<std::string>() : successors->second;
        update_neighbours(list);
        return;
    }
    auto const& spec = replayed_state.rollouts().at(name);
    m_targets = assignment.at(name);
    m_prefer = spec.prefer.value_or(Schema::Prefer::Time);
    auto const version = Configuration::weights_of(replayed_state, spec);
    m_is_version_missing = !version.has_value();
    auto const revision = replayed_state.rollout_revision(name);
    if (m_is_version_missing) {
        // The resource may name a version that is yet to be created: what is served stays.
        m_rollout = name;
        m_revision = revision;
        m_callbacks.changed();
        return;
    }
    bool const is_news = m_rollout != name || m_revision != revision || !m_version || m_version->digest != version->digest;
    if (is_news) {
        adopt(name, revision, *version);
        Schema::Weights weights;
        weights.model = version->model;
        weights.version = version->version;
        weights.digest = version->digest;
        m_engine.set_wanted(weights, replayed_state.offset());
        if (m_transfer && m_transfer->is_complete())
            m_engine.set_complete(version->digest, true);
    }
    if (m_transfer)
        m_transfer->set_targets(m_targets);
    update_neighbours(list);
}

void WeightsRunner::adopt(std::string const& rollout, int64_t revision, Schema::VersionSpec const& version)
{
    bool const has_other_weights = !m_version || m_version->digest != version.digest;
    bool const is_other_revision = m_rollout != rollout || m_revision != revision;
    m_rollout = rollout;
    m_revision = revision;
    m_released_at.reset();
    m_is_withdrawn = false;
    Core::log_event(Core::LogLevel::Info, "rollout_adopted", { { "rollout", rollout }, { "revision", std::to_string(revision) }, { "version", version.version }, { "digest", version.digest } });
    if (is_other_revision) {
        m_origin_bytes = 0;
        m_peer_bytes = 0;
        m_ready_by_rollout.erase(rollout);
    }
    m_version = version;
    m_ready_at.reset();
    if (has_other_weights)
        start_transfer();
    m_callbacks.changed();
}

void WeightsRunner::start_transfer()
{
    discard_downloads();
    m_to_announce.clear();
    m_widen = 0;
    auto transfer_settings = m_settings.transfer;
    // Saving origin bytes means waiting longer for a peer; saving time means the opposite.
    if (m_prefer == Schema::Prefer::OriginBytes)
        transfer_settings.origin_wait *= 2;
    auto const seed = Core::stable_hash(m_settings.identity, m_version->digest);
    m_transfer = std::make_unique<Distribution::Transfer>(*m_version, m_settings.identity, m_targets, m_store.held_chunk_indices(*m_version), transfer_settings, seed, Core::monotonic_now());
    for (auto const& [peer, by_digest] : m_peer_chunks) {
        auto found = by_digest.find(m_version->digest);
        if (found != by_digest.end())
            m_transfer->on_peer_chunks(peer, { found->second.begin(), found->second.end() });
    }
    for (auto const& peer : m_callbacks.linked_peers())
        send_full_map(peer);
}

void WeightsRunner::release()
{
    if (m_rollout.empty())
        return;
    Core::log_event(Core::LogLevel::Info, "rollout_left", { { "rollout", m_rollout } });
    m_released_rollout = m_rollout;
    m_released_at = Core::monotonic_now();
    m_targets.clear();
    m_rollout.clear();
    m_transfer.reset();
    discard_downloads();
    m_engine.set_wanted({}, 0);
    m_callbacks.changed();
}

void WeightsRunner::update_neighbours(Membership::InstanceList const& list)
{
    m_candidates.clear();
    m_link_addresses.clear();
    m_http_addresses.clear();
    for (auto const& id : m_targets) {
        auto const* instance = list.find(id);
        if (!instance)
            continue;
        m_candidates.push_back({ id, instance->failure_domain, instance->region });
        m_link_addresses[id] = { instance->address, static_cast<uint16_t>(instance->link_port) };
    }
    // A holder that is leaving, or in no rollout, still has chunks to give.
    for (auto const& instance : list.members().instances)
        m_http_addresses[instance.id] = { instance.address, static_cast<uint16_t>(instance.http_port) };

    std::map<std::string, Transport::LinkAddress> wanted;
    auto const self = std::find_if(m_candidates.begin(), m_candidates.end(), [&](auto const& candidate) { return candidate.id == m_settings.identity; });
    if (self != m_candidates.end() && !m_rollout.empty()) {
        // Each link carries both ways, so half of the neighbours are dialled and about as many dial here.
        for (auto const& id : Distribution::choose_neighbours(*self, m_candidates, (m_settings.neighbours + 1) / 2, m_widen))
            wanted[id] = m_link_addresses[id];
        if (m_settings.transfer.strategy == Schema::Strategy::Chain) {
            wanted.clear();
            auto const position = std::find(m_targets.begin(), m_targets.end(), m_settings.identity);
            if (position != m_targets.begin())
                wanted[*(position - 1)] = m_link_addresses[*(position - 1)];
        }
    }
    if (m_settings.transfer.strategy == Schema::Strategy::OriginOnly)
        wanted.clear();
    m_callbacks.set_neighbours(std::move(wanted));
}

void WeightsRunner::on_tally(Schema::Tally const& tally)
{
    if (tally.rollout == m_rollout && tally.revision != m_revision)
        return;
    // Each entry sees most instances; a newer word replaces an older one.
    m_ready_by_rollout[tally.rollout] = tally.ready;
}

void WeightsRunner::on_peer_up(std::string const& peer)
{
    send_full_map(peer);
}

void WeightsRunner::on_peer_down(std::string const& peer)
{
    m_peer_chunks.erase(peer);
    if (m_transfer)
        m_transfer->on_peer_lost(peer);
}

void WeightsRunner::on_chunk_map(std::string const& peer, Schema::ChunkMap const& map)
{
    auto& by_digest = m_peer_chunks[peer];
    by_digest[map.digest].insert(map.chunks.begin(), map.chunks.end());
    while (by_digest.size() > versions_remembered_per_peer)
        by_digest.erase(by_digest.begin()->first == map.digest ? std::next(by_digest.begin()) : by_digest.begin());
    if (m_transfer && m_version && map.digest == m_version->digest)
        m_transfer->on_peer_chunks(peer, map.chunks);
}

void WeightsRunner::send_full_map(std::string const& peer)
{
    if (!m_version || m_settings.transfer.strategy == Schema::Strategy::OriginOnly)
        return;
    Schema::Message message;
    message.chunk_map.emplace();
    message.chunk_map->digest = m_version->digest;
    message.chunk_map->chunks = m_store.held_chunk_indices(*m_version);
    m_callbacks.send(peer, message);
}

void WeightsRunner::announce()
{
    if (m_to_announce.empty() || !m_version)
        return;
    auto const news = std::exchange(m_to_announce, {});
    for (auto const& peer : m_callbacks.linked_peers()) {
        // A peer that holds a chunk has no use for the word that others do.
        auto const& held = m_peer_chunks[peer][m_version->digest];
        Schema::Message message;
        message.chunk_map.emplace();
        message.chunk_map->digest = m_version->digest;
        for (auto number : news) {
            if (!held.contains(number))
                message.chunk_map->chunks.push_back(number);
        }
        if (!message.chunk_map->chunks.empty())
            m_callbacks.send(peer, message);
    }
}

void WeightsRunner::turn()
{
    auto const now = Core::monotonic_now();
    if (m_transfer)
        run_transfer(now);
    if (m_settings.has_engine)
        run_engine(now);
    drop_unneeded(now);
}

void WeightsRunner::run_transfer(Core::Time now)
{
    for (auto const& action : m_transfer->step(now)) {
        if (auto const* fetch = std::get_if<Distribution::Fetch>(&action))
            start(*fetch);
        else if (auto const* cancel = std::get_if<Distribution::CancelFetch>(&action))
            stop(cancel->id);
    }
    bool const may_widen = m_transfer->is_starved(now) && m_widen + m_settings.neighbours < m_candidates.size();
    if (!may_widen)
        return;
    m_widen += neighbours_per_widening;
    m_metrics.count("mountbarrow_agent_neighbours_widened_total");
    auto const self = std::find_if(m_candidates.begin(), m_candidates.end(), [&](auto const& candidate) { return candidate.id == m_settings.identity; });
    if (self == m_candidates.end() || m_settings.transfer.strategy != Schema::Strategy::Swarm)
        return;
    std::map<std::string, Transport::LinkAddress> wanted;
    for (auto const& id : Distribution::choose_neighbours(*self, m_candidates, (m_settings.neighbours + 1) / 2, m_widen))
        wanted[id] = m_link_addresses[id];
    m_callbacks.set_neighbours(std::move(wanted));
}

void WeightsRunner::start(Distribution::Fetch const& fetch)
{
    auto const& digest = m_version->chunks[fetch.chunk].digest;
    if (fetch.is_duplicate) {
        m_metrics.count("mountbarrow_agent_duplicate_reads_total");
        Core::log_event(Core::LogLevel::Info, "slow_read_doubled", { { "chunk", std::to_string(fetch.chunk) }, { "second_source", fetch.source.peer } });
    }
    Transport::HttpCallRequest request;
    if (fetch.source.is_origin()) {
        request.address = m_settings.platform_address;
        request.port = m_settings.platform_port;
        request.path = "/origin/chunks/" + digest;
    } else {
        auto const& target = m_http_addresses[fetch.source.peer];
        request.address = target.address;
        request.port = target.port;
        request.path = "/chunks/" + digest + "?held=" + std::to_string(m_transfer->held_count());
    }
    request.limit = m_download_limit.get();
    request.max_body_bytes = static_cast<size_t>(m_version->chunks[fetch.chunk].bytes);
    auto download = std::make_unique<Download>();
    download->digest = digest;
    download->is_from_origin = fetch.source.is_origin();
    auto* raw = download.get();
    auto const id = fetch.id;
    m_downloads[id] = std::move(download);
    raw->call = Transport::HttpCall::start(m_loop, request,
        { .head = [raw](int status, Transport::HttpHeaders const&) { raw->status = status; },
            .data = [this, raw, id](std::string_view slice) {
                if (raw->status != status_ok)
                    return;
                raw->bytes.append(slice);
                (raw->is_from_origin ? m_origin_bytes : m_peer_bytes) += static_cast<int64_t>(slice.size());
                m_metrics.count("mountbarrow_agent_weights_bytes_total", raw->is_from_origin ? "source=\"origin\"" : "source=\"peer\"", slice.size());
                if (m_transfer)
                    m_transfer->on_progress(id, Core::monotonic_now()); },
            .done = [this, id] { on_downloaded(id); },
            .failed = [this, id](Transport::HttpFailure) { on_download_failed(id, Distribution::FetchFailure::Unreachable); } });
}

void WeightsRunner::stop(uint64_t fetch)
{
    auto const download = take_download(fetch);
    if (download)
        count_discarded(*download, m_store.holds(download->digest) ? "held_already" : "stalled");
}

void WeightsRunner::count_discarded(Download const& download, std::string const& reason)
{
    if (download.bytes.size() > 0)
        m_metrics.count("mountbarrow_agent_weights_bytes_discarded_total", "reason=\"" + reason + "\"", download.bytes.size());
}

void WeightsRunner::discard_downloads()
{
    for (auto const& [fetch, download] : m_downloads)
        count_discarded(*download, "other_version");
    m_downloads.clear();
}

std::unique_ptr<WeightsRunner::Download> WeightsRunner::take_download(uint64_t fetch)
{
    auto node = m_downloads.extract(fetch);
    return node.empty() ? nullptr : std::move(node.mapped());
}

void WeightsRunner::on_downloaded(uint64_t fetch)
{
    auto download = take_download(fetch);
    if (!download || !m_transfer)
        return;
    auto const now = Core::monotonic_now();
    if (download->status != status_ok) {
        auto const failure = download->status == status_unavailable ? Distribution::FetchFailure::Busy : Distribution::FetchFailure::Missing;
        m_metrics.count("mountbarrow_agent_fetch_failures_total", failure == Distribution::FetchFailure::Busy ? "reason=\"busy\"" : "reason=\"missing\"");
        m_transfer->on_failed(fetch, failure, now);
        return;
    }
    auto const size = download->bytes.size();
    auto const added = m_store.add(download->digest, download->bytes);
    if (added == Distribution::ChunkStore::AddResult::Added)
        m_metrics.count("mountbarrow_agent_weights_bytes_kept_total", {}, size);
    if (added == Distribution::ChunkStore::AddResult::AlreadyHeld) {
        m_metrics.count("mountbarrow_agent_chunks_fetched_again_total");
        count_discarded(*download, "held_already");
    }
    if (added == Distribution::ChunkStore::AddResult::Corrupt) {
        count_discarded(*download, "corrupt");
        m_metrics.count("mountbarrow_agent_fetch_failures_total", "reason=\"corrupt\"");
        Core::log_event(Core::LogLevel::Warn, "chunk_corrupt", { { "digest", download->digest } });
        m_transfer->on_failed(fetch, Distribution::FetchFailure::Corrupt, now);
        return;
    }
    m_transfer->on_fetched(fetch, now);
    for (size_t i = 0; i < m_version->chunks.size(); ++i) {
        if (m_version->chunks[i].digest == download->digest)
            m_to_announce.push_back(static_cast<int64_t>(i));
    }
    announce();
    run_transfer(now);
    if (!m_transfer->is_complete())
        return;
    Core::log_event(Core::LogLevel::Info, "weights_complete", { { "rollout", m_rollout }, { "revision", std::to_string(m_revision) }, { "digest", m_version->digest } });
    m_engine.set_complete(m_version->digest, true);
    m_callbacks.changed();
}

void WeightsRunner::on_download_failed(uint64_t fetch, Distribution::FetchFailure failure)
{
    auto download = take_download(fetch);
    if (!download || !m_transfer)
        return;
    m_metrics.count("mountbarrow_agent_fetch_failures_total", "reason=\"unreachable\"");
    count_discarded(*download, "broken_off");
    m_transfer->on_failed(fetch, failure, Core::monotonic_now());
}

bool WeightsRunner::may_switch_now() const
{
    return Distribution::may_switch(m_settings.identity, m_targets, ready_of(m_rollout), Distribution::max_instances_switching(m_targets.size()));
}

std::vector<std::string> const& WeightsRunner::ready_of(std::string const& rollout) const
{
    static std::vector<std::string> const none;
    auto const found = m_ready_by_rollout.find(rollout);
    return found == m_ready_by_rollout.end() ? none : found->second;
}

bool WeightsRunner::do_successors_serve() const
{
    auto const& ready = ready_of(m_released_rollout);
    return std::all_of(m_successors.begin(), m_successors.end(), [&](auto const& id) {
        return std::find(ready.begin(), ready.end(), id) != ready.end();
    });
}

void WeightsRunner::run_engine(Core::Time now)
{
    if (auto order_due = m_engine.step(now, m_callbacks.in_flight(), may_switch_now()))
        order(*order_due);
    auto const now_serving = serving();
    bool const has_changed = now_serving.has_value() != m_last_serving.has_value() || (now_serving && now_serving->digest != m_last_serving->digest);
    if (!has_changed)
        return;
    m_last_serving = now_serving;
    Core::log_event(Core::LogLevel::Info, "serving_changed", { { "version", now_serving ? now_serving->version : "" }, { "digest", now_serving ? now_serving->digest : "" }, { "fence", std::to_string(m_engine.fence()) } });
    m_callbacks.changed();
}

void WeightsRunner::poll_engine()
{
    if (m_is_polling)
        return;
    m_is_polling = true;
    Transport::HttpCallRequest request;
    request.address = m_settings.backend_address;
    request.port = m_settings.backend_port;
    request.path = "/engine/status";
    request.timeout = engine_call_timeout;
    request.max_body_bytes = max_status_bytes;
    auto const sent_at = Core::monotonic_now();
    m_client.call(request, [this, sent_at](auto answer) {
        m_is_polling = false;
        if (!answer.has_value() || answer->status != status_ok) {
            m_engine.on_unreachable();
            return;
        }
        auto status = Schema::from_text<Schema::EngineStatus>(answer->body);
        if (status.has_value())
            m_engine.on_status(*status, sent_at);
        else
            m_engine.on_unreachable();
    });
}

void WeightsRunner::order(Distribution::EngineControl::Order const& due)
{
    Core::log_event(Core::LogLevel::Info, "load_ordered", { { "fence", std::to_string(due.fence) }, { "version", due.weights.version }, { "digest", due.weights.digest } });
    m_metrics.count("mountbarrow_agent_load_orders_total");
    if (m_version && m_version->digest != due.weights.digest)
        return;
    Schema::LoadOrder body;
    body.fence = due.fence;
    body.model = due.weights.model;
    body.version = due.weights.version;
    body.digest = due.weights.digest;
    for (auto const& chunk : m_version->chunks)
        body.chunks.push_back(chunk.digest);
    body.source_address = m_settings.own_address;
    body.source_port = m_http_port;
    Transport::HttpCallRequest request;
    request.address = m_settings.backend_address;
    request.port = m_settings.backend_port;
    request.method = "POST";
    request.path = "/engine/load";
    request.body = Schema::to_text(body);
    request.timeout = load_timeout;
    m_client.call(request, [this, fence = due.fence](auto answer) {
        bool const is_accepted = answer.has_value() && answer->status == status_ok;
        if (!is_accepted) {
            m_metrics.count("mountbarrow_agent_load_failures_total");
            Core::log_event(Core::LogLevel::Warn, "load_failed", { { "fence", std::to_string(fence) }, { "status", answer.has_value() ? std::to_string(answer->status) : "none" } });
        }
        m_engine.on_order_answered(fence, is_accepted, Core::monotonic_now());
        poll_engine();
        m_callbacks.changed();
    });
    m_callbacks.changed();
}

void WeightsRunner::drop_unneeded(Core::Time now)
{
    if (m_released_at && !m_is_withdrawn) {
        if (now < *m_released_at + hold_down || !do_successors_serve())
            return;
        m_is_withdrawn = true;
        m_version.reset();
        m_store.keep_only({});
        m_callbacks.changed();
        return;
    }
    if (!m_engine.is_ready() || !m_version) {
        m_ready_at.reset();
        return;
    }
    if (!m_ready_at)
        m_ready_at = now;
    if (now < *m_ready_at + hold_down || m_store.count() <= m_version->chunks.size())
        return;
    m_store.keep_only({ &*m_version });
}

std::optional<Schema::Weights> WeightsRunner::serving() const
{
    if (m_is_withdrawn)
        return {};
    return m_engine.serving();
}

void WeightsRunner::describe(Schema::Report& report) const
{
    report.serving = serving();
    report.fence = m_engine.fence();
    if (auto const* status = m_engine.status()) {
        report.engine_load = status->load;
        report.warm_prefixes = status->warm_prefixes;
    }
    if (m_rollout.empty())
        return;
    Schema::Progress progress {};
    progress.rollout = m_rollout;
    progress.revision = m_revision;
    progress.origin_bytes = m_origin_bytes;
    progress.peer_bytes = m_peer_bytes;
    progress.state = Schema::ProgressState::Transferring;
    if (m_transfer) {
        progress.chunks_held = static_cast<int64_t>(m_transfer->held_count());
        progress.chunks_total = static_cast<int64_t>(m_transfer->chunk_count());
        if (m_transfer->is_complete())
            progress.state = Schema::ProgressState::Loading;
    }
    if (m_engine.is_ready())
        progress.state = Schema::ProgressState::Ready;
    if (m_is_version_missing) {
        progress.state = Schema::ProgressState::Failed;
        progress.failure = Schema::Reason::NoSuchVersion;
    } else if (m_engine.failed_orders() > 0 && !m_engine.is_ready() && progress.state == Schema::ProgressState::Loading) {
        progress.failure = Schema::Reason::LoadFailed;
    }
    report.progress = progress;
}

}
