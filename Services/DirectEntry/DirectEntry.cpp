// SPDX-License-Identifier: BSD-2-Clause
#include "DirectEntry.h"

#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <LibSchema/Json.h>
#include <LibTransport/SocketAddress.h>
#include <algorithm>
#include <utility>

namespace DirectEntry {

using Configuration::FactChanges;

static constexpr Core::Duration tick_interval { 20 };
// Waiting requests of services without a free slot are offered one only every so many ticks: why there is none changes more slowly
// than slots become free.
static constexpr int ticks_per_offer_without_slot = 5;
static constexpr Core::Duration link_check_interval { 500 };
static constexpr Core::Duration report_interval { 3000 };
static constexpr int link_checks_per_sharing = EngineSharing::interval / link_check_interval;
// A configuration older than this may be out of date: a newer one, not received yet, may allow a request that it denies.
static constexpr Core::Duration stale_after { 4000 };
// After a signal to stop the platform still leads new callers here until it has missed two readiness probes, a second apart.
static constexpr Core::Duration stop_notice { 2500 };
static constexpr Core::Duration min_listening_time { 3000 };
// Before the end of the grace time: when what is unfinished is answered, and by when these answers must have been sent.
static constexpr Core::Duration answers_before_kill { 500 };
static constexpr Core::Duration exit_before_kill { 200 };
// Engine roles are reassigned soon after an entry or engine appears, but once for all that appear within this time.
static constexpr Core::Duration min_roles_interval { 100 };
// Within this time a new entry is linked to a seed and has received the list of other entries from it, if the seed is up.
static constexpr Core::Duration seed_link_time { 2000 };
// After a pause of this length the peers have dropped their links to this process.
static constexpr Core::Duration link_losing_pause = Transport::LinkKeepAlive {}.silence;
// Data that arrived in sockets during a pause is read within this time after it.
static constexpr Core::Duration pause_backlog_read_time { 100 };
static constexpr size_t queue_limit = 256;
static constexpr int status_ok = 200;
static constexpr int status_not_found = 404;
static constexpr int status_unavailable = 503;
static constexpr std::string_view suspects_path = "/suspects";
static constexpr double milliseconds_per_second = 1000;

static Routing::ServerTableSettings table_settings(Schema::DirectEntrySettings const& settings)
{
    Routing::ServerTableSettings result;
    result.choice = settings.choice.value_or(Schema::ServerChoice::Predicted);
    result.failure_domain = settings.failure_domain;
    result.region = settings.region;
    result.regions = settings.regions;
    auto const policy = settings.policy.value_or(Schema::RoutingPolicy {});
    result.leftover_reserve = policy.leftover_reserve.value_or(result.leftover_reserve);
    result.leftover_unread_ms = policy.leftover_unread_ms.value_or(result.leftover_unread_ms);
    result.shares_reported_slots = policy.share_reported_room.value_or(result.shares_reported_slots);
    result.enforces_max_event_gap = policy.bound_pauses.value_or(result.enforces_max_event_gap);
    return result;
}

static Routing::WaitingPolicy waiting_policy(Schema::DirectEntrySettings const& settings)
{
    auto const policy = settings.policy.value_or(Schema::RoutingPolicy {});
    Routing::WaitingPolicy result;
    result.orders_by_timeliness = policy.order_by_timeliness.value_or(result.orders_by_timeliness);
    result.leftover_factor = policy.leftover_factor.value_or(result.leftover_factor);
    return result;
}

/// The limits that hold for all callers together; the configuration sets those of each request.
static Transport::IngressLimits ingress_limits(Schema::DirectEntrySettings const& settings)
{
    Transport::IngressLimits limits;
    limits.max_memory_bytes = static_cast<size_t>(settings.request_memory_bytes.value_or(static_cast<int64_t>(limits.max_memory_bytes)));
    limits.max_connections = static_cast<size_t>(settings.max_caller_connections.value_or(static_cast<int64_t>(limits.max_connections)));
    return limits;
}

static Routing::RetryLimit retry_limit(Schema::DirectEntrySettings const& settings)
{
    Routing::RetryLimit limit;
    limit.ratio = settings.bounds.retry_ratio;
    limit.window = Core::Duration(static_cast<int64_t>(settings.bounds.retry_window_s * milliseconds_per_second));
    limit.slack = settings.bounds.retry_slack;
    return limit;
}

Core::ErrorOr<std::unique_ptr<DirectEntry>> DirectEntry::create(Core::EventLoop& loop, Schema::DirectEntrySettings const& settings, PlatformParts parts)
{
    std::unique_ptr<DirectEntry> entry(new DirectEntry(loop, settings, std::move(parts)));
    TRY(entry->listen());
    entry->m_facts.start();
    entry->m_returning.on_outage(Core::monotonic_now());
    entry->m_crashes.start();
    return entry;
}

DirectEntry::DirectEntry(Core::EventLoop& loop, Schema::DirectEntrySettings const& settings, PlatformParts parts)
    : m_loop(loop)
    , m_settings(settings)
    , m_heads(std::move(parts.heads))
    , m_origin(std::move(parts.origin))
    , m_facts(loop, settings.identity, std::move(parts.facts), follower_settings(settings.bounds), m_metrics, fact_callbacks())
    , m_goals(m_facts.replica(), [this] { return m_facts.has_read_stored_versions(); })
    , m_random(Core::stable_hash(settings.identity, std::to_string(Core::wall_now().count())))
    , m_sharing(settings.identity, settings.failure_domain)
    , m_followed({ settings.identity, settings.failure_domain, 0 }, settings.regions)
    , m_started_at(Core::monotonic_now())
    , m_servers(table_settings(settings), m_random())
    , m_limits(settings.identity, m_servers.permits(), Core::monotonic_now(), limit_sender())
    , m_leaving(m_servers, leaving_callbacks())
    , m_retries(retry_limit(settings), Core::monotonic_now())
    , m_capabilities(loop, settings.metrics_port, [this](std::string const& entry) { m_crashes.on_entry_linked(entry); })
    , m_crashes(loop, settings.identity, std::move(parts.blames), m_metrics, crash_callbacks())
    , m_returning({ .entries = [this] { return m_hub->peers(Schema::Role::Entry); }, .send = sender_to_capable_entries() })
    , m_context { .loop = loop,
        .metrics = m_metrics,
        .heads = *m_heads,
        .servers = m_servers,
        .retries = m_retries,
        .crashes = m_crashes,
        .random = m_random,
        .waiting_policy = waiting_policy(settings),
        .routes = nullptr,
        .is_stale = [this] { return is_stale(); },
        .are_facts_current = [this] { return m_facts.is_current_after_pause(); },
        .arrival_time = [this] { return arrival_time(); },
        .running_time = [this] { return m_facts.pauses().running_time(Core::monotonic_now()); },
        .required_version = [this](std::string const& service) { return m_goals.required(service, version_time_limit(), Core::monotonic_now()); },
        .newest_version = [this](std::string const& service) { return m_goals.newest(service); },
        .returning = m_returning,
        .stop = m_stop,
        .service_queue = [this](std::string const& service) -> Routing::ServiceQueue& { return m_service_queues.try_emplace(service, queue_limit).first->second; },
        .request_admitted = [this](std::string const& service) { m_sharing.count_request(service); },
        .server_list_mismatch = [this] { m_facts.on_server_list_mismatch(); },
        .request_over = [this](uint64_t number) { m_loop.soon([this, number] { m_requests.erase(number); }); } }
{
    Transport::LinkOptions options;
    options.identity = { settings.identity, Schema::Role::Entry, Core::wall_now().count() };
    options.keys = { settings.key };
    options.offset = [this] { return m_facts.replica().end(Configuration::FactTopic::Configuration); };
    options.list_version = [this] { return m_facts.replica().end(Configuration::FactTopic::BackendServers); };
    options.keep_alive.emplace();
    m_hub = std::make_unique<Transport::LinkHub>(loop, std::move(options), link_callbacks());
    m_goal_publisher = std::make_unique<WeightsGoalPublisher>(*m_hub, m_facts.replica(), m_settings.regions);
    create_weights_cache();
    m_facts.pauses().on_resumed(link_losing_pause, [this](Core::Duration paused_for) { handle_pause(paused_for); });
    m_tick_timer = loop.every(tick_interval, [this] { tick(); });
    m_link_timer = loop.every(link_check_interval, [this] { check_links(); });
    m_report_timer = loop.every(report_interval, [this] { log_requests_in_flight(); });
}

DirectEntry::~DirectEntry()
{
    m_requests.clear();
}

Core::ErrorOr<void> DirectEntry::listen()
{
    auto const callers = Transport::split_address(m_settings.callers_address);
    auto const readiness = Transport::split_address(m_settings.readiness_address);
    auto on_fault = [this](Transport::IngressFault fault, Transport::MessageHead const& head) { return answer_to_fault(fault, head); };
    m_callers = TRY(Transport::IngressServer::create(
        m_loop, callers.first, callers.second, [this](auto request) { on_request(std::move(request)); }, on_fault));
    m_callers->set_limits(ingress_limits(m_settings));
    m_readiness = TRY(Transport::HttpServer::create(m_loop, readiness.first, readiness.second, {}, [this](auto const& exchange) {
        exchange->reply(is_ready() ? status_ok : status_unavailable, {}, {});
    }));
    TRY(m_hub->listen(m_settings.identity, static_cast<uint16_t>(m_settings.link_port)));
    if (m_settings.control_address) {
        auto const control = Transport::split_address(*m_settings.control_address);
        TRY(m_hub->listen(control.first, control.second));
    }
    if (m_settings.metrics_port) {
        Transport::HttpServerOptions options;
        options.send_patience = Weights::upload_send_timeout;
        m_metrics_server = TRY(Transport::HttpServer::create(m_loop, m_settings.identity, static_cast<uint16_t>(*m_settings.metrics_port), options, [this](auto const& exchange) { on_internal_request(exchange); }));
    }
    Core::log_event(Core::LogLevel::Info, "started", { { "callers", m_settings.callers_address }, { "domain", m_settings.failure_domain } });
    return {};
}

// Links.

Transport::LinkHub::Callbacks DirectEntry::link_callbacks()
{
    return {
        .up = [this](Schema::Hello const& hello) { on_link_up(hello); },
        .message = [this](Schema::Hello const& hello, Schema::Message const& message) { on_link_message(hello, message); },
        .down = [this](std::string const& identity) { on_link_down(identity); },
        .failed = [this](Core::ErrorCode code) { m_metrics.count("mountbarrow_link_failures_total", "reason=\"" + std::string(Core::error_name(code)) + "\""); },
        .silent = [this](std::string const& identity, Core::Duration silent_for) {
            m_metrics.count("mountbarrow_silent_links_total");
            m_silent_peers.insert(identity);
            Core::log_event(Core::LogLevel::Warn, "link_silent", { { "peer", identity }, { "silent_ms", std::to_string(silent_for.count()) } }); },
    };
}

void DirectEntry::on_link_up(Schema::Hello const& hello)
{
    Core::log_event(Core::LogLevel::Info, "link_up", { { "peer", hello.identity }, { "role", Schema::enumerator_name(hello.role) } });
    m_silent_peers.erase(hello.identity);
    if (hello.role == Schema::Role::Entry) {
        m_hub->send(hello.identity, entry_load_message());
        // Requests that either entry sent over the previous link may be lost.
        m_hub->send(hello.identity, log_position_message());
        m_facts.on_entry_linked(hello.identity);
        m_crashes.on_entry_linked(hello.identity);
        m_leaving.announce_all_to(hello.identity);
        Schema::Message directory;
        directory.directory.emplace();
        directory.directory->entries = m_hub->peers(Schema::Role::Entry);
        m_hub->send(hello.identity, directory);
        if (m_known_entries.insert(hello.identity).second)
            m_new_entries.insert(hello.identity);
        m_servers.set_entries(m_known_entries.size() + 1);
        m_retries.set_entries(m_known_entries.size() + 1);
        if (m_weights)
            m_weights->announce_held_to(hello);
        return;
    }
    m_sent_engine_use.erase(hello.identity);
    if (m_weights)
        m_weights->announce_held_to(hello);
    // Before the goal, which may order the engine to load.
    m_leaving.announce_to_agent(hello.identity);
    m_goal_publisher->publish_to(hello.identity, m_goals.goals(version_time_limit(), Core::monotonic_now()));
}

void DirectEntry::on_link_down(std::string const& identity)
{
    Core::log_event(Core::LogLevel::Info, "link_down", { { "peer", identity } });
    m_sharing.on_peer_down(identity);
    m_crashes.on_entry_link_down(identity);
    m_limits.on_entry_lost(identity, Core::monotonic_now());
    m_capabilities.forget(identity);
    if (m_known_entries.contains(identity))
        m_returning.on_outage(Core::monotonic_now());
    m_sent_engine_use.erase(identity);
    // An agent whose link was dropped for silence may still be running, and its last message remains valid until it expires.
    if (m_silent_peers.erase(identity) == 0)
        m_servers.on_agent_disconnected(identity);
    if (m_weights) {
        m_weights->on_peer_down(identity);
        m_weights->update_sources();
    }
}

/// Data that waits in sockets when the process resumes may be as old as the pause is long. All links are dropped with their unread
/// messages, as the peers have given them up by then. The facts are read again, and no request is sent until that is done.
void DirectEntry::handle_pause(Core::Duration paused_for)
{
    m_metrics.count("mountbarrow_wakes_total");
    Core::log_event(Core::LogLevel::Warn, "woke", { { "paused_ms", std::to_string(paused_for.count()) }, { "in_hand", std::to_string(m_requests.size()) } });
    m_hub->drop_all();
    m_limits.on_resumed(Core::monotonic_now());
    if (m_weights)
        m_weights->forget_reported_versions();
    m_facts.reread_after_pause();
}

/// Arrival time of a request that is read now: the start of the last pause if the request may have waited in its socket during it.
Core::Time DirectEntry::arrival_time()
{
    m_facts.pauses().check_for_pause();
    auto const now = Core::monotonic_now();
    auto const pause = m_facts.pauses().last(now);
    bool const may_have_waited = pause && now - pause->ended <= pause_backlog_read_time;
    return may_have_waited ? pause->began : now;
}

void DirectEntry::on_link_message(Schema::Hello const& from, Schema::Message const& message)
{
    m_facts.pauses().check_for_pause();
    // A message that waited during a pause of the process is dropped with its link.
    if (!m_hub->is_up(from.identity))
        return;
    auto const now = Core::monotonic_now();
    if (message.engine_state) {
        auto const before = m_servers.version_at(from.identity, now);
        m_servers.on_engine_state(from.identity, *message.engine_state, now);
        auto const version = m_servers.version_at(from.identity, now);
        if (m_weights)
            m_weights->on_version_reported(from.identity, version);
        if (before != version)
            on_engine_version(from.identity, version);
    } else if (message.entry_load) {
        bool const is_new = m_sharing.on_peer_load(from.identity, *message.entry_load);
        m_roles_changed = m_roles_changed || is_new;
        if (is_new && m_weights)
            m_weights->update_sources();
        if (message.entry_load->keeps_limits.value_or(false))
            m_limits.on_entry_linked(from.identity, now);
        if (message.entry_load->issues_permits)
            m_limits.on_issuing_stated(from.identity, *message.entry_load->issues_permits);
        if (message.entry_load->configuration_end)
            m_facts.on_peer_log_position(from.identity, *message.entry_load->configuration_end, message.entry_load->configuration_version);
    } else if (message.pieces) {
        if (m_weights)
            m_weights->on_peer_pieces(from.identity, *message.pieces);
    } else if (message.directory) {
        bool has_news = false;
        for (auto const& entry : message.directory->entries)
            has_news = (entry != m_settings.identity && m_known_entries.insert(entry).second) || has_news;
        if (has_news) {
            m_servers.set_entries(m_known_entries.size() + 1);
            m_retries.set_entries(m_known_entries.size() + 1);
            update_links();
        }
    } else if (message.fact_request) {
        m_facts.on_fact_request(from.identity, *message.fact_request);
    } else if (message.facts) {
        m_facts.on_batch(from.identity, *message.facts);
    } else if (message.crash_news) {
        m_crashes.on_crash_news(from.identity, *message.crash_news);
    } else if (message.leaving_servers && from.role == Schema::Role::Entry) {
        m_leaving.on_message(*message.leaving_servers, now);
    } else if (message.limit_exchange && from.role == Schema::Role::Entry) {
        m_limits.on_message(from.identity, *message.limit_exchange, now);
    } else if (message.refusals) {
        m_returning.on_announcement(from.identity, *message.refusals, now);
    } else if (message.ping && message.ping->configuration_end) {
        m_facts.on_peer_log_position(from.identity, *message.ping->configuration_end, message.ping->configuration_version);
    }
}

/// A version that an engine holds was named by the operator, whatever the newest record of the log says.
void DirectEntry::on_engine_version(std::string const& ip, int64_t version)
{
    m_roles_changed = true;
    for (auto const* server : m_facts.replica().servers()) {
        bool const is_there = Transport::split_address(server->address).first == ip;
        auto const model = is_there ? m_goals.model_of(server->service) : std::nullopt;
        if (!model || version <= 1 || version <= m_goals.newest(server->service))
            continue;
        Core::log_event(Core::LogLevel::Warn, "version_shown_by_engine", { { "engine", ip }, { "model", *model }, { "version", std::to_string(version) } });
        m_facts.on_version_seen_at_engine(*model, version);
        return;
    }
}

void DirectEntry::check_links()
{
    bool const is_sharing_due = ++m_link_checks % link_checks_per_sharing == 0;
    if (is_sharing_due)
        m_sharing.end_interval();
    send_to_entries(is_sharing_due ? entry_load_message() : log_position_message());
    announce_new_entries();
    if (is_sharing_due)
        update_roles(Core::monotonic_now());
    update_links();
}

/// Announces new entries to the others. Of two entries only one connects to the other, so the others must know of an entry to which
/// they are the ones to connect.
void DirectEntry::announce_new_entries()
{
    if (m_new_entries.empty())
        return;
    Schema::Message message;
    message.directory.emplace();
    message.directory->entries = { m_new_entries.begin(), m_new_entries.end() };
    m_new_entries.clear();
    send_to_entries(message);
}

void DirectEntry::send_to_entries(Schema::Message const& message)
{
    for (auto const& identity : m_hub->peers(Schema::Role::Entry))
        m_hub->send(identity, message);
}

/// Returns how far this entry has read the log, so that peers that are behind request the missing facts.
Schema::Message DirectEntry::log_position_message() const
{
    Schema::Message message;
    message.ping.emplace();
    message.ping->sent_at_ms = Core::monotonic_now().count();
    message.ping->list_version = m_facts.replica().end(Configuration::FactTopic::BackendServers);
    message.ping->configuration_end = m_facts.replica().end(Configuration::FactTopic::Configuration);
    message.ping->configuration_version = m_facts.configuration_version();
    return message;
}

/// Returns this entry's request rates, and how far it has read the log.
Schema::Message DirectEntry::entry_load_message() const
{
    Schema::Message message;
    message.entry_load = m_sharing.load();
    message.entry_load->keeps_limits = true;
    message.entry_load->issues_permits = m_limits.is_issuing();
    message.entry_load->configuration_end = m_facts.replica().end(Configuration::FactTopic::Configuration);
    message.entry_load->configuration_version = m_facts.configuration_version();
    return message;
}

void DirectEntry::update_roles(Core::Time now)
{
    if (!m_context.routes)
        return;
    m_roles_changed = false;
    m_roles_updated_at = now;
    auto roles = m_sharing.roles(*m_context.routes, m_facts.replica(), m_servers, m_followed, now);
    m_used_engines.clear();
    for (auto const& [id, role] : roles) {
        if (auto const* server = m_servers.find(id))
            m_used_engines.insert(Transport::split_address(server->address).first);
    }
    m_servers.set_roles(std::move(roles));
    send_engine_use();
}

/// Notifies agents whether this entry uses their engine: they send each load change at once only to the entries that do.
void DirectEntry::send_engine_use()
{
    // Several items of the backend server list may have the same IP address, and not all of them need be engines.
    std::map<std::string, bool> uses;
    for (auto const* server : m_facts.replica().servers()) {
        auto& is_used = uses[Transport::split_address(server->address).first];
        is_used = is_used || m_servers.may_use(server->id);
    }
    for (auto const& [ip, is_used] : uses) {
        if (!m_followed.contains(ip) || !m_hub->is_up(ip))
            continue;
        auto const [last_sent, is_new] = m_sent_engine_use.try_emplace(ip, is_used);
        if (!is_new && std::exchange(last_sent->second, is_used) == is_used)
            continue;
        Schema::Message message;
        message.engine_use.emplace();
        message.engine_use->is_used = is_used;
        m_hub->send(ip, message);
    }
}

std::vector<Routing::SharedEngine> DirectEntry::listed_engines() const
{
    std::vector<Routing::SharedEngine> engines;
    for (auto const* server : m_facts.replica().servers()) {
        auto const* service = m_context.routes->service(server->service);
        if (service && service->timing)
            engines.push_back({ Transport::split_address(server->address).first, server->failure_domain });
    }
    return engines;
}

void DirectEntry::update_links()
{
    auto const now = Core::monotonic_now();
    std::map<std::string, Transport::LinkAddress> wanted;
    auto const link_port = static_cast<uint16_t>(m_settings.link_port);
    if (m_context.routes) {
        bool const has_changed = m_followed.update(listed_engines(), m_sharing.entries(), m_used_engines, now);
        if (has_changed && m_weights)
            m_weights->forget_reported_versions();
        m_servers.set_selectable_engines(m_followed.ips());
        for (auto const& ip : m_followed.ips())
            wanted[ip] = { ip, link_port };
    }
    // Of two entries the one with the lower identity connects.
    for (auto const& entry : m_known_entries) {
        if (entry > m_settings.identity)
            wanted[entry] = { entry, link_port };
    }
    // Seeds know entries of every region; the followed agents may not.
    bool const is_new_here = now - m_started_at < seed_link_time;
    if (is_new_here || m_known_entries.empty() || !m_context.routes) {
        for (auto const& seed : m_settings.seeds.value_or(std::vector<std::string> {})) {
            auto const address = Transport::split_address(seed);
            if (address.first != m_settings.identity)
                wanted.try_emplace(address.first, Transport::LinkAddress { address.first, address.second });
        }
    }
    m_hub->set_wanted(std::move(wanted));
}

// Facts.

static void log_date(char const* event, std::string const& model, Configuration::NamedVersion const& named, Core::Time now)
{
    Core::log_event(Core::LogLevel::Info, event, { { "model", model }, { "version", std::to_string(named.version) }, { "at_most_ms_ago", named.named ? std::to_string((now - *named.named).count()) : "unknown" } });
}

EntryFacts::Callbacks DirectEntry::fact_callbacks()
{
    return {
        .changed = [this](FactChanges const& changes) { on_facts(changes); },
        .send = [this](std::string const& entry, Schema::Message const& message) { m_hub->send(entry, message); },
        .entries = [this] { return m_hub->peers(Schema::Role::Entry); },
        .distance = [this](std::string const& entry) { return distance(entry); },
        .log_came_back_from_copy = [this] { m_crashes.on_log_came_back_from_copy(); },
    };
}

/// Returns OtherRegion for an entry that has not sent its load yet: its failure domain is unknown.
Platform::Distance DirectEntry::distance(std::string const& entry) const
{
    auto const& loads = m_sharing.peer_loads();
    auto const load = loads.find(entry);
    if (load == loads.end())
        return Platform::Distance::OtherRegion;
    auto const distance = Routing::distance_between(m_settings.failure_domain, load->second.failure_domain, m_settings.regions);
    return distance == Routing::Distance::OtherRegion ? Platform::Distance::OtherRegion : Platform::Distance::SameRegion;
}

void DirectEntry::on_facts(FactChanges const& changes)
{
    auto const now = Core::monotonic_now();
    if (changes.has_configuration)
        on_configuration();
    for (auto const& id : changes.servers) {
        auto const* server = m_facts.replica().server(id);
        if (server)
            m_servers.set_server(*server, now);
        else
            m_servers.remove_server(id);
        Core::log_event(Core::LogLevel::Info, "server_changed", { { "server", id }, { "state", !server ? "removed" : server->is_draining ? "draining"
                                                                                                                                         : "ready" },
                                                                    { "service", server ? server->service : "" }, { "address", server ? server->address : "" }, { "started_at_ms", server && server->started_at_ms ? std::to_string(*server->started_at_ms) : "" }, { "version", std::to_string(m_servers.version_of(id, now)) }, { "unreadable", server && !server->unreadable_fields.empty() ? server->unreadable_fields.front() : "" } });
    }
    if (changes.has_versions) {
        for (auto const& [model, named] : m_facts.replica().versions())
            log_date("version_named", model, named.versions.back(), now);
    }
    for (auto const& dated : changes.versions_with_changed_times) {
        if (auto const* known = m_facts.replica().versions().at(dated.model).find(dated.version))
            log_date("version_dated", dated.model, *known, now);
    }
    if (!changes.servers.empty() || changes.has_configuration)
        update_links();
    m_leaving.announce_to_agents_of(changes.servers);
    send_goals();
}

void DirectEntry::on_configuration()
{
    auto const& configuration = m_facts.replica().configuration();
    m_context.routes = std::make_shared<Routing::RouteTable const>(configuration);
    for (auto const& service : configuration->services) {
        if (service.timing)
            m_servers.set_timing(service.name, *service.timing);
    }
    if (m_callers) {
        auto limits = ingress_limits(m_settings);
        limits.max_head_bytes = static_cast<size_t>(configuration->max_header_bytes);
        limits.max_body_bytes = static_cast<size_t>(configuration->max_body_bytes);
        limits.head_timeout = Core::Duration(configuration->header_timeout_ms);
        limits.idle_timeout = Core::Duration(configuration->idle_timeout_ms);
        m_callers->set_limits(limits);
    }
    if (!configuration->unreadable_fields.empty()) {
        m_metrics.count("mountbarrow_degraded_configurations_total");
        Core::log_event(Core::LogLevel::Error, "configuration_degraded", { { "version", std::to_string(configuration->version) }, { "fields", std::to_string(configuration->unreadable_fields.size()) }, { "first", configuration->unreadable_fields.front() } });
    }
    Core::log_event(Core::LogLevel::Info, "configuration_in_force", { { "version", std::to_string(configuration->version) }, { "routes", std::to_string(configuration->routes.size()) }, { "customers", std::to_string(configuration->customers.size()) } });
}

// Weights.

void DirectEntry::create_weights_cache()
{
    if (!m_origin || !m_settings.metrics_port || !m_settings.link_megabits_per_second)
        return;
    EntryWeightsContext const context { m_settings, *m_hub, m_facts.replica(), m_servers, m_sharing, m_followed, [this] { m_facts.pauses().check_for_pause(); } };
    m_weights = std::make_unique<EntryWeights>(m_loop, context, m_metrics, *m_origin);
}

void DirectEntry::send_goals()
{
    auto const now = Core::monotonic_now();
    auto const goals = m_goals.goals(version_time_limit(), now);
    for (auto const& goal : goals) {
        if (!m_weights)
            break;
        auto const named_at = now - Core::Duration(goal.age_ms);
        if (m_goals.is_named(goal.model))
            m_weights->set_goal(goal, named_at);
        else
            m_weights->set_initial_goal(goal, named_at);
    }
    m_goal_publisher->publish_changed(goals);
}

bool DirectEntry::is_stale() const
{
    return m_facts.ages(Core::monotonic_now()).configuration > stale_after;
}

bool DirectEntry::is_ready() const
{
    return m_context.routes && !m_stop.has_begun();
}

// Callers.

void DirectEntry::on_request(std::shared_ptr<Transport::IngressRequest> caller)
{
    if (m_stop.has_begun())
        log_request_while_stopping(*caller);
    auto const number = m_next_request++;
    auto request = std::make_shared<ProxiedRequest>(m_context, std::move(caller), number);
    m_requests[number] = request;
    request->begin();
}

Transport::FaultAnswer DirectEntry::answer_to_fault(Transport::IngressFault fault, Transport::MessageHead const& head)
{
    m_metrics.count("mountbarrow_ingress_faults_total", "fault=\"" + std::to_string(static_cast<int>(fault)) + "\"");
    bool const is_overloaded = fault == Transport::IngressFault::Overloaded;
    if (is_overloaded)
        Core::log_event(Core::LogLevel::Warn, "caller_gave_way", { { "request", m_heads->read_caller(head).request_id }, { "memory_bytes", std::to_string(m_callers->memory_bytes()) }, { "connections", std::to_string(m_callers->connection_count()) } });
    if (is_overloaded || fault == Transport::IngressFault::Stopping) {
        auto const problem = refusal_problem(is_overloaded ? Refusal::MemoryFull : Refusal::Stopping, status_unavailable, Schema::Outcome::NotRun, retry_after_when_unready);
        return { m_heads->generated_answer_headers(m_heads->read_caller(head).request_id, retry_after_when_unready), Schema::to_text(problem) };
    }
    Schema::Problem problem {};
    problem.type = "urn:mountbarrow:problem:malformed";
    problem.title = "The request cannot be read.";
    problem.outcome = Schema::Outcome::Rejected;
    return { m_heads->generated_answer_headers({}, {}), Schema::to_text(problem) };
}

void DirectEntry::log_request_while_stopping(Transport::IngressRequest const& caller)
{
    auto const now = Core::monotonic_now();
    m_metrics.count("mountbarrow_requests_while_stopping_total");
    Core::log_event(Core::LogLevel::Info, "request_while_stopping",
        { { "request", m_heads->read_caller(caller.head()).request_id }, { "stopping_for_ms", std::to_string(m_stop.elapsed(now).count()) }, { "read_for_ms", std::to_string((now - caller.began()).count()) }, { "number_on_connection", std::to_string(caller.number_on_connection()) } });
}

void DirectEntry::log_requests_in_flight()
{
    auto const now = Core::monotonic_now();
    size_t waiting = 0;
    auto oldest = now;
    for (auto const& [number, request] : m_requests) {
        waiting += request->is_waiting() ? 1 : 0;
        oldest = std::min(oldest, request->started());
    }
    Core::log_event(Core::LogLevel::Info, "requests_in_flight",
        { { "count", std::to_string(m_requests.size()) }, { "waiting", std::to_string(waiting) }, { "oldest_ms", std::to_string((now - oldest).count()) }, { "connections", std::to_string(m_callers ? m_callers->connection_count() : 0) }, { "memory_bytes", std::to_string(m_callers ? m_callers->memory_bytes() : 0) }, { "gave_way", std::to_string(m_callers ? m_callers->given_way_count() : 0) }, { "up_ms", std::to_string((now - m_started_at).count()) } });
}

/// Returns a sender for messages that older builds do not know and would close the link for; it skips entries of such builds.
std::function<void(std::string const&, Schema::Message const&)> DirectEntry::sender_to_capable_entries()
{
    return [this](std::string const& entry, Schema::Message const& message) {
        if (m_capabilities.accepts_crash_messages(entry))
            m_hub->send(entry, message);
    };
}

LeavingServers::Callbacks DirectEntry::leaving_callbacks()
{
    return {
        .entries = [this] { return m_hub->peers(Schema::Role::Entry); },
        .send = [this](std::string const& peer, Schema::Message const& message) { m_hub->send(peer, message); },
        .changed = [this] { m_roles_changed = true; },
    };
}

Routing::LimitCoordinator::Send DirectEntry::limit_sender()
{
    return [this](std::string const& entry, Schema::LimitExchange const& exchange) {
        Schema::Message message;
        message.limit_exchange = exchange;
        m_hub->send(entry, message);
    };
}

CrashDetector::Callbacks DirectEntry::crash_callbacks()
{
    return {
        .entries = [this] { return m_hub->peers(Schema::Role::Entry); },
        .send = sender_to_capable_entries(),
        // Deferred, as the request whose attempt led to this is still handling the end of that attempt.
        .blamed = [this](std::string const& key) { m_loop.soon([this, key] {
                                                       auto const requests = m_requests;
                                                       for (auto const& [number, request] : requests)
                                                           request->on_blamed(key);
                                                   }); },
    };
}

void DirectEntry::offer_slots()
{
    // A slot becomes free by an answer, an agent's report, a new server, or the passing of time. Each waiting request evaluates all
    // engines, so where none has a free slot, requests try only now and then, to learn why there is none.
    bool const is_due = ++m_offer_ticks % ticks_per_offer_without_slot == 0;
    auto const now = Core::monotonic_now();
    for (auto& [service, line] : m_service_queues) {
        if (line.queue.size() == 0 || (!is_due && !m_servers.has_free_slot(service, now)))
            continue;
        line.queue.offer([this](uint64_t number) {
            auto const found = m_requests.find(number);
            return found == m_requests.end() || found->second->try_send();
        });
    }
}

void DirectEntry::tick()
{
    auto const now = Core::monotonic_now();
    if (m_roles_changed && now - m_roles_updated_at >= min_roles_interval)
        update_roles(now);
    m_goals.log_required_changes(version_time_limit(), now);
    m_returning.tell(now);
    offer_slots();
    m_limits.tick(now);
    if (std::exchange(m_has_stated_issuing, m_limits.is_issuing()) != m_limits.is_issuing())
        send_to_entries(entry_load_message());
    m_leaving.announce_new(now);
    std::vector<std::shared_ptr<ProxiedRequest>> requests;
    requests.reserve(m_requests.size());
    for (auto const& [number, request] : m_requests)
        requests.push_back(request);
    for (auto const& request : requests)
        request->tick(now);
    if (m_stop.has_begun())
        finish_drain(now);
}

// Stopping.

void DirectEntry::drain()
{
    if (m_stop.has_begun())
        return;
    auto const grace = Core::Duration(static_cast<int64_t>(m_settings.bounds.grace_s * milliseconds_per_second));
    m_stop.begin({ .notice = stop_notice, .until_answers = grace - answers_before_kill, .until_exit = grace - exit_before_kill }, Core::monotonic_now());
    m_callers->end_connections_gently();
    m_limits.stop_issuing();
    Core::log_event(Core::LogLevel::Info, "draining", { { "in_hand", std::to_string(m_requests.size()) } });
}

void DirectEntry::finish_drain(Core::Time now)
{
    bool const is_out_of_time = m_stop.is_out_of_time(now);
    if (!is_out_of_time && m_stop.elapsed(now) < min_listening_time)
        return;
    m_callers->stop_accepting();
    if (is_out_of_time)
        give_up_unfinished();
    // The answers to what was given up may still be on their way out.
    bool const has_finished = m_requests.empty() && m_callers->has_finished();
    if (!has_finished && !m_stop.must_exit(now))
        return;
    Core::log_event(Core::LogLevel::Info, "stopped", { { "after_ms", std::to_string(m_stop.elapsed(now).count()) }, { "given_up", std::to_string(m_given_up) }, { "connections", std::to_string(m_callers->connection_count()) } });
    m_loop.stop();
}

void DirectEntry::give_up_unfinished()
{
    auto const requests = m_requests;
    for (auto const& [number, request] : requests) {
        if (request->is_over())
            continue;
        m_given_up += 1;
        request->end_at_shutdown();
    }
    m_callers->refuse_unread();
}

void DirectEntry::reload(Core::ErrorOr<Schema::DirectEntrySettings> const& settings)
{
    if (!settings.has_value()) {
        Core::log_event(Core::LogLevel::Error, "reload_refused", { { "reason", Core::error_name(settings.error().code) }, { "detail", settings.error().detail } });
        return;
    }
    bool const is_fixed_same = settings->identity == m_settings.identity && settings->callers_address == m_settings.callers_address && settings->platform_address == m_settings.platform_address;
    m_settings.bounds = settings->bounds;
    m_settings.seeds = settings->seeds;
    Core::log_event(Core::LogLevel::Info, "reloaded", { { "needs_restart", is_fixed_same ? "" : "addresses" } });
}

void DirectEntry::on_internal_request(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    if (exchange->path() == PeerCapabilities::path)
        exchange->reply(status_ok, { { "Content-Type", "application/json" } }, PeerCapabilities::capabilities());
    else if (exchange->path().starts_with(suspects_path))
        reply_suspects(*exchange);
    else if (!m_weights || !m_weights->serve(exchange))
        reply_metrics(*exchange);
}

/// GET returns all suspects as JSON; DELETE of /suspects/DIGEST clears one, so that it runs again at all entries.
void DirectEntry::reply_suspects(Transport::HttpExchange& exchange)
{
    if (exchange.method() == "GET") {
        Schema::CrashNews news {};
        news.suspects = m_crashes.suspects().all(Core::monotonic_now());
        exchange.reply(status_ok, { { "Content-Type", "application/json" } }, Schema::to_text(news));
        return;
    }
    auto const& path = exchange.path();
    auto const digest = path.substr(std::min(path.size(), suspects_path.size() + 1));
    bool const was_cleared = exchange.method() == "DELETE" && m_crashes.clear_by_operator(digest);
    exchange.reply(was_cleared ? status_ok : status_not_found, {}, {});
}

size_t DirectEntry::unreadable_server_fields() const
{
    size_t count = 0;
    for (auto const* server : m_facts.replica().servers())
        count += server->unreadable_fields.size();
    return count;
}

void DirectEntry::report_limits()
{
    auto const limits = m_servers.permits().limits();
    auto const limited = std::count_if(limits.begin(), limits.end(), [](auto const& entry) { return entry.second.per_second.has_value(); });
    m_metrics.set("mountbarrow_limited_servers", static_cast<double>(limited));
}

void DirectEntry::reply_metrics(Transport::HttpExchange& exchange)
{
    report_limits();
    m_metrics.set("mountbarrow_in_hand", static_cast<double>(m_requests.size()));
    m_crashes.report_metrics();
    m_metrics.set("mountbarrow_fact_age_ms", static_cast<double>(m_facts.ages(Core::monotonic_now()).older().count()));
    m_metrics.set("mountbarrow_configuration_version", m_context.routes ? static_cast<double>(m_context.routes->version()) : 0);
    m_metrics.set("mountbarrow_unreadable_fields", m_context.routes ? static_cast<double>(m_context.routes->configuration().unreadable_fields.size()) : 0, "record=\"configuration\"");
    m_metrics.set("mountbarrow_unreadable_fields", static_cast<double>(unreadable_server_fields()), "record=\"backend_server\"");
    m_metrics.set("mountbarrow_links", static_cast<double>(m_hub->peers(Schema::Role::Entry).size() + m_hub->peers(Schema::Role::Agent).size()));
    m_metrics.set("mountbarrow_link_bytes", static_cast<double>(m_hub->traffic().sent), "direction=\"sent\"");
    m_metrics.set("mountbarrow_link_bytes", static_cast<double>(m_hub->traffic().received), "direction=\"received\"");
    m_metrics.set("mountbarrow_link_unknown_members", static_cast<double>(m_hub->traffic().unknown_members));
    exchange.reply(status_ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.to_prometheus());
}

}
