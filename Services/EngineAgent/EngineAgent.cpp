// SPDX-License-Identifier: BSD-2-Clause
#include "EngineAgent.h"

#include "../Weights/TransferDefaults.h"
#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <LibDistribution/Neighbours.h>
#include <LibSchema/Json.h>
#include <LibTransport/SocketAddress.h>
#include <algorithm>

namespace EngineAgent {

static constexpr Core::Duration state_interval { 150 };
static constexpr Core::Duration state_repetition_interval { 1000 };
static constexpr Core::Duration seed_interval { 500 };
// Shortest pause that is handled: after it the other ends have dropped the links of this process.
static constexpr Core::Duration link_losing_pause = Transport::LinkKeepAlive {}.silence;
static constexpr size_t max_neighbours = 32;
static constexpr size_t fetches_with_caches = 3;
// A chunk alone takes about 35 ms on the network link of the users' instances.
static constexpr Core::Duration slow_link { 150 };
static constexpr size_t origin_fetches_in_flight = 1;
static constexpr size_t peer_fetches_while_seeding = 3;
static constexpr size_t seeders = 8;
static constexpr size_t max_concurrent_uploads = 2;
static constexpr size_t max_waiting_uploads = 4;
static constexpr double bytes_per_megabit = 125000;
// Requests and their answers share the link with the chunks.
static constexpr double upload_part_of_link = 0.95;
static constexpr int status_ok = 200;
static constexpr int status_not_found = 404;

Core::ErrorOr<std::unique_ptr<EngineAgent>> EngineAgent::create(Core::EventLoop& loop, Schema::EngineAgentSettings const& settings, PlatformParts parts)
{
    std::unique_ptr<EngineAgent> agent(new EngineAgent(loop, settings, std::move(parts)));
    TRY(agent->listen());
    return agent;
}

static WeightsLoaderSettings weights_loader_settings(Schema::EngineAgentSettings const& settings)
{
    WeightsLoaderSettings result;
    result.region = settings.region;
    result.regions = settings.regions;
    result.fetcher.identity = settings.identity;
    result.fetcher.transfer = Weights::transfer_defaults();
    result.fetcher.transfer.origin_fetches_in_flight = origin_fetches_in_flight;
    result.fetcher.transfer.fetches_with_caches = fetches_with_caches;
    result.fetcher.transfer.slow_link = slow_link;
    result.fetcher.transfer.peer_fetches_while_seeding = peer_fetches_while_seeding;
    result.fetcher.transfer.seeders = seeders;
    result.fetcher.chunk_port = static_cast<uint16_t>(settings.chunk_port);
    return result;
}

EngineAgent::EngineAgent(Core::EventLoop& loop, Schema::EngineAgentSettings const& settings, PlatformParts parts)
    : m_loop(loop)
    , m_settings(settings)
    , m_pauses(loop)
    , m_engine(std::move(parts.engine))
    , m_origin(std::move(parts.origin))
{
    Transport::LinkOptions options;
    options.identity = { settings.identity, Schema::Role::Agent, Core::wall_now().count() };
    options.keys = { settings.key };
    options.offset = [] { return int64_t { 0 }; };
    options.list_version = [] { return int64_t { 0 }; };
    options.keep_alive.emplace();
    m_hub = std::make_unique<Transport::LinkHub>(loop, std::move(options), link_callbacks());
    auto announce = [this](Schema::PieceMap const& map) {
        Schema::Message message;
        message.pieces = map;
        for (auto const& peer : m_hub->peers(Schema::Role::Agent))
            m_hub->send(peer, message);
    };
    m_loader = std::make_unique<WeightsLoader>(loop, weights_loader_settings(settings), m_metrics, *m_engine, *m_origin, WeightsLoader::Callbacks { .announce = announce, .changed = [this] { send_state(); }, .detect_pause = [this] { m_pauses.check_for_pause(); } });
    m_pauses.on_resumed(link_losing_pause, [this](Core::Duration paused_for) { on_resumed(paused_for); });
    Weights::ChunkServerSettings uploads;
    uploads.bytes_per_second = static_cast<int64_t>(settings.link_megabits_per_second * bytes_per_megabit * upload_part_of_link);
    uploads.max_concurrent_uploads = max_concurrent_uploads;
    uploads.max_waiting_uploads = max_waiting_uploads;
    m_chunks = std::make_unique<Weights::ChunkServer>(loop, uploads, m_metrics, m_loader->store());
    m_state_timer = loop.every(state_interval, [this] { send_state_if_changed(); });
    m_seed_timer = loop.every(seed_interval, [this] { dial_one_more_seed(); });
}

EngineAgent::~EngineAgent() = default;

Core::ErrorOr<void> EngineAgent::listen()
{
    TRY(m_hub->listen(m_settings.identity, static_cast<uint16_t>(m_settings.link_port)));
    dial_wanted();
    Transport::HttpServerOptions options;
    options.send_patience = Weights::upload_send_timeout;
    m_http = TRY(Transport::HttpServer::create(m_loop, m_settings.identity, static_cast<uint16_t>(m_settings.chunk_port), options, [this](auto const& exchange) { on_http(exchange); }));
    Core::log_event(Core::LogLevel::Info, "started", { { "engine", m_settings.engine_address }, { "domain", m_settings.failure_domain } });
    return {};
}

// Links.

Transport::LinkHub::Callbacks EngineAgent::link_callbacks()
{
    return {
        .up = [this](Schema::Hello const& hello) { on_link_up(hello); },
        .message = [this](Schema::Hello const& hello, Schema::Message const& message) { on_link_message(hello, message); },
        .down = [this](std::string const& identity) {
            Core::log_event(Core::LogLevel::Info, "link_down", { { "peer", identity } });
            m_entries_without_requests.erase(identity);
            m_loader->on_peer_down(identity);
            update_caches(); },
        .failed = [this](Core::ErrorCode code) { m_metrics.count("mountbarrow_link_failures_total", "reason=\"" + std::string(Core::error_name(code)) + "\""); },
        .silent = [this](std::string const& identity, Core::Duration silent_for) {
            m_metrics.count("mountbarrow_silent_links_total");
            Core::log_event(Core::LogLevel::Warn, "link_silent", { { "peer", identity }, { "silent_ms", std::to_string(silent_for.count()) } }); },
    };
}

void EngineAgent::on_link_up(Schema::Hello const& hello)
{
    Core::log_event(Core::LogLevel::Info, "link_up", { { "peer", hello.identity }, { "role", Schema::enumerator_name(hello.role) } });
    if (hello.role == Schema::Role::Entry) {
        send_directory(hello.identity);
        send_state();
        update_caches();
        // Links to seeds may no longer be needed. Not at once, as this may close the other link to the same entry.
        m_loop.soon([this] { dial_wanted(); });
        return;
    }
    for (auto const& map : m_loader->held()) {
        Schema::Message message;
        message.pieces = map;
        m_hub->send(hello.identity, message);
    }
}

/// Drops all links and the engine's last report: messages that wait in the links, and the report, are as old as the pause is long.
void EngineAgent::on_resumed(Core::Duration paused_for)
{
    m_metrics.count("mountbarrow_wakes_total");
    Core::log_event(Core::LogLevel::Warn, "woke", { { "paused_ms", std::to_string(paused_for.count()) } });
    m_hub->drop_all();
    m_loader->on_resumed();
}

void EngineAgent::on_link_message(Schema::Hello const& from, Schema::Message const& message)
{
    m_pauses.check_for_pause();
    // A message that waited during a pause is dropped together with its link.
    if (!m_hub->is_up(from.identity))
        return;
    if (message.weights_goal)
        on_goal(*message.weights_goal);
    else if (message.pieces && from.role == Schema::Role::Entry)
        m_loader->on_cache_pieces(from.identity, *message.pieces);
    else if (message.pieces)
        m_loader->on_peer_pieces(from.identity, *message.pieces);
    else if (message.leaving_servers && from.role == Schema::Role::Entry)
        on_leaving(*message.leaving_servers);
    else if (message.engine_use && message.engine_use->is_used)
        m_entries_without_requests.erase(from.identity);
    else if (message.engine_use)
        m_entries_without_requests.insert(from.identity);
}

void EngineAgent::on_leaving(Schema::LeavingServers const& leaving)
{
    // An entry that does not know which incarnation it was says nothing about the present one.
    for (auto const& server : leaving.servers) {
        if (server.started_at_ms)
            m_loader->on_engine_leaving(*server.started_at_ms);
    }
}

void EngineAgent::on_goal(Schema::WeightsGoal const& goal)
{
    if (goal.service != m_settings.service)
        return;
    m_goal = goal;
    m_has_been_unlisted = m_has_been_unlisted || !is_listed();
    dial_wanted();
    m_loader->set_goal(goal);
}

// Outgoing links.

bool EngineAgent::is_listed() const
{
    return m_goal && std::any_of(m_goal->peers.begin(), m_goal->peers.end(), [this](auto const& peer) { return peer.identity == m_settings.identity; });
}

void EngineAgent::dial_wanted()
{
    std::map<std::string, Transport::LinkAddress> wanted;
    add_neighbours(wanted);
    add_seeds(wanted);
    m_hub->set_wanted(std::move(wanted));
}

void EngineAgent::add_neighbours(std::map<std::string, Transport::LinkAddress>& wanted) const
{
    if (!m_goal)
        return;
    Distribution::NeighbourCandidate const self { m_settings.identity, m_settings.failure_domain, m_settings.region };
    std::vector<Distribution::NeighbourCandidate> others;
    for (auto const& peer : m_goal->peers) {
        auto const region = m_settings.regions.find(peer.failure_domain);
        others.push_back({ peer.identity, peer.failure_domain, region == m_settings.regions.end() ? "" : region->second });
    }
    for (auto const& id : Distribution::choose_neighbours(self, others, max_neighbours, 0)) {
        // Of two agents the one with the lower identity dials. An agent that is not listed yet is dialled by none, so it dials all.
        if (id > m_settings.identity || m_has_been_unlisted)
            wanted[id] = { id, static_cast<uint16_t>(m_settings.link_port) };
    }
}

void EngineAgent::add_seeds(std::map<std::string, Transport::LinkAddress>& wanted) const
{
    // Entries dial the agents on the list. Until one has dialled this agent, it dials entries itself: without an entry it would take it that
    // none keeps a copy, and read from the origin what the entries are about to read.
    if (is_listed() && m_hub->has_accepted(Schema::Role::Entry))
        return;
    auto const seeds = Core::rendezvous_order(m_settings.identity, m_settings.seeds.value_or(std::vector<std::string> {}));
    for (size_t i = 0; i < std::min(m_dialled_seeds, seeds.size()); ++i) {
        auto const address = Transport::split_address(seeds[i]);
        wanted[address.first] = { address.first, address.second };
    }
}

void EngineAgent::update_caches()
{
    auto const entries = m_hub->peers(Schema::Role::Entry);
    m_loader->set_caches({ entries.begin(), entries.end() });
}

void EngineAgent::send_directory(std::string const& newcomer)
{
    Schema::Message all;
    all.directory.emplace();
    all.directory->entries = m_hub->peers(Schema::Role::Entry);
    m_hub->send(newcomer, all);
    Schema::Message announcement;
    announcement.directory.emplace();
    announcement.directory->entries = { newcomer };
    for (auto const& entry : all.directory->entries) {
        if (entry != newcomer)
            m_hub->send(entry, announcement);
    }
}

static Schema::EngineState to_state(WeightsLoader const& loader)
{
    Schema::EngineState state {};
    state.version = loader.checked_version();
    state.is_version_known = loader.is_version_known();
    state.unchecked_version = loader.unchecked_version();
    state.pace = 1;
    state.is_busy = loader.is_busy();
    if (auto const& report = loader.report()) {
        state.started_at_ms = report->started_at_ms;
        state.running = report->running;
        state.waiting = report->waiting;
        state.pace = report->pace;
    }
    return state;
}

void EngineAgent::send_state()
{
    Schema::Message message;
    message.engine_state = to_state(*m_loader);
    m_sent_state = *message.engine_state;
    m_sent_at = Core::monotonic_now();
    for (auto const& entry : m_hub->peers(Schema::Role::Entry))
        m_hub->send(entry, message);
}

void EngineAgent::send_load(Schema::EngineState const& state)
{
    Schema::Message message;
    message.engine_state = state;
    m_sent_state = state;
    for (auto const& entry : m_hub->peers(Schema::Role::Entry)) {
        if (!m_entries_without_requests.contains(entry))
            m_hub->send(entry, message);
    }
}

void EngineAgent::send_state_if_changed()
{
    m_pauses.check_for_pause();
    auto const state = to_state(*m_loader);
    bool const is_same = state.running == m_sent_state.running && state.waiting == m_sent_state.waiting && state.pace == m_sent_state.pace;
    if (Core::monotonic_now() - m_sent_at >= state_repetition_interval)
        send_state();
    else if (!is_same)
        send_load(state);
}

void EngineAgent::dial_one_more_seed()
{
    if (m_goal && !m_hub->peers(Schema::Role::Entry).empty())
        return;
    // A seed's address may be outdated or the seed down, so one more is dialled each time.
    m_dialled_seeds += 1;
    dial_wanted();
}

void EngineAgent::on_http(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    static std::string const chunk_prefix = "/chunks/";
    auto const& path = exchange->path();
    if (path.starts_with(chunk_prefix))
        m_chunks->serve(exchange, path.substr(chunk_prefix.size()));
    else if (path == "/manifest")
        m_loader->serve_manifest(*exchange);
    else if (path == "/metrics")
        exchange->reply(status_ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.to_prometheus());
    else
        exchange->reply(status_not_found, {}, {});
}

void EngineAgent::drain()
{
    Core::log_event(Core::LogLevel::Info, "stopped");
    m_loop.stop();
}

void EngineAgent::reload(Core::ErrorOr<Schema::EngineAgentSettings> const& settings)
{
    if (!settings.has_value()) {
        Core::log_event(Core::LogLevel::Error, "reload_refused", { { "reason", Core::error_name(settings.error().code) }, { "detail", settings.error().detail } });
        return;
    }
    m_settings.bounds = settings->bounds;
    Core::log_event(Core::LogLevel::Info, "reloaded");
}

}
