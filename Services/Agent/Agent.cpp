// SPDX-License-Identifier: BSD-2-Clause
#include "Agent.h"

#include <LibCore/Log.h>
#include <LibPlatform/HttpPlatform.h>
#include <LibSchema/Json.h>
#include <LibSettings/Settings.h>

namespace Agent {

static constexpr Core::Duration default_lease { 3000 };
static constexpr Core::Duration default_list_lag { 2000 };
static constexpr Core::Duration default_clock_bound { 500 };
static constexpr Core::Duration default_key_lifetime { 600000 };
static constexpr Core::Duration default_drain { 30000 };
static constexpr Core::Duration default_resume { 3000 };
static constexpr Core::Duration default_patience { 2000 };
static constexpr Core::Duration default_stall { 2000 };
static constexpr size_t default_neighbours = 16;
static constexpr size_t default_fetches = 4;
static constexpr size_t default_seeders = 4;
static constexpr size_t default_uploads = 1;
static constexpr size_t default_uploads_waiting = 1;
static constexpr size_t default_capacity = 8;
static constexpr int64_t default_once_record_bytes = 16 * 1024 * 1024;
// A lease survives two lost pings.
static constexpr int pings_per_lease = 3;
static constexpr Core::Duration report_delay { 20 };
static constexpr Core::Duration demand_lifetime { 5000 };
static constexpr Core::Duration alone_before_reading { 3000 };
static constexpr Core::Duration default_platform_poll { 1000 };
static constexpr Core::Duration drain_check { 20 };
// For the entries to be told what is unfinished at the end.
static constexpr Core::Duration answers_before_exit { 300 };
// Long enough for the word of leaving to reach the entries before the port closes.
static constexpr Core::Duration least_drain { 300 };
static constexpr int status_ok = 200;
static constexpr int status_not_found = 404;
static constexpr std::string_view chunk_path = "/chunks/";

static Membership::IdempotencyKeyOwnerSettings key_home_settings(Schema::AgentSettings const& settings)
{
    return {
        .lease = Settings::duration_or(settings.lease_ms, default_lease),
        .max_list_lag = Settings::duration_or(settings.list_lag_ms, default_list_lag),
        .max_clock_difference = Settings::duration_or(settings.clock_bound_ms, default_clock_bound),
        .key_lifetime = Settings::duration_or(settings.key_lifetime_ms, default_key_lifetime),
    };
}

static WeightsRunnerSettings weights_settings(Schema::AgentSettings const& settings)
{
    WeightsRunnerSettings result;
    result.identity = settings.identity;
    result.own_address = settings.address;
    result.platform_address = settings.platform_address;
    result.platform_port = static_cast<uint16_t>(settings.platform_port);
    result.backend_address = settings.backend_address;
    result.backend_port = static_cast<uint16_t>(settings.backend_port);
    result.has_engine = settings.backend_kind == Schema::BackendKindEnum::Engine;
    result.neighbours = static_cast<size_t>(settings.neighbours.value_or(default_neighbours));
    result.uploads.max_concurrent_uploads = static_cast<size_t>(settings.uploads_at_once.value_or(default_uploads));
    result.uploads.max_waiting_uploads = static_cast<size_t>(settings.uploads_waiting.value_or(default_uploads_waiting));
    result.uploads.bytes_per_second = settings.upload_bytes_per_second.value_or(0);
    result.download_bytes_per_second = settings.download_bytes_per_second.value_or(0);
    result.transfer.strategy = settings.strategy.value_or(Schema::Strategy::Swarm);
    result.transfer.fetches_in_flight = static_cast<size_t>(settings.fetches_in_flight.value_or(default_fetches));
    result.transfer.seeders = static_cast<size_t>(settings.seeders.value_or(default_seeders));
    result.transfer.origin_wait = Settings::duration_or(settings.origin_patience_ms, default_patience);
    result.transfer.stall_timeout = Settings::duration_or(settings.stall_ms, default_stall);
    return result;
}

Core::ErrorOr<std::unique_ptr<Agent>> Agent::create(Core::EventLoop& loop, Schema::AgentSettings const& settings)
{
    auto keys = TRY(Transport::read_keys(*settings.key_file));
    std::unique_ptr<Agent> agent(new Agent(loop, settings, std::move(keys)));
    TRY(agent->listen());
    return agent;
}

Agent::Agent(Core::EventLoop& loop, Schema::AgentSettings const& settings, std::vector<std::string> keys)
    : m_loop(loop)
    , m_settings(settings)
    , m_key_home(settings.identity, settings.service, key_home_settings(settings), Core::wall_now())
    , m_platform(std::make_unique<Platform::HttpPlatform>(loop, settings.platform_address, static_cast<uint16_t>(settings.platform_port)))
    , m_capacity(static_cast<size_t>(settings.capacity.value_or(default_capacity)))
    , m_last_entry_seen(Core::monotonic_now())
{
    Transport::LinkOptions options;
    options.identity = { settings.identity, Schema::Role::Agent, Core::wall_now().count() };
    options.keys = std::move(keys);
    options.offset = [this] { return m_replica.replayed_state().offset(); };
    options.list_version = [this] { return m_list.version(); };
    m_hub = std::make_unique<Transport::LinkHub>(loop, std::move(options), link_callbacks());

    RequestRunnerSettings requests;
    requests.backend_address = settings.backend_address;
    requests.backend_port = static_cast<uint16_t>(settings.backend_port);
    requests.resume_wait = Settings::duration_or(settings.resume_ms, default_resume);
    requests.once_record_bytes = static_cast<size_t>(settings.once_record_bytes.value_or(default_once_record_bytes));
    requests.key_lifetime = Settings::duration_or(settings.key_lifetime_ms, default_key_lifetime);
    auto send = [this](std::string const& entry, Schema::Message const& message) { return m_hub->send(entry, message); };
    m_requests = std::make_unique<RequestRunner>(
        loop, requests, m_key_home, m_metrics, send, [this] { return admission_view(); }, [this] { report_soon(); });
    m_weights = std::make_unique<WeightsRunner>(loop, weights_settings(settings), m_metrics, weights_callbacks());

    m_ping_timer = loop.every(lease() / pings_per_lease, [this] { ping(); });
    m_platform_timer = loop.every(Settings::duration_or(settings.list_poll_ms, default_platform_poll), [this] { read_platform_if_alone(); });
}

Agent::~Agent() = default;

Core::ErrorOr<void> Agent::listen()
{
    auto handler = [this](std::shared_ptr<Transport::HttpExchange> const& exchange) { on_http(exchange); };
    m_http = TRY(Transport::HttpServer::create(m_loop, m_settings.address, static_cast<uint16_t>(m_settings.http_port), {}, handler));
    m_weights->set_http_port(m_http->port());
    auto const link_port = TRY(m_hub->listen(m_settings.address, static_cast<uint16_t>(m_settings.link_port)));
    Core::log_event(Core::LogLevel::Info, "started", { { "service", m_settings.service }, { "http_port", std::to_string(m_http->port()) }, { "link_port", std::to_string(link_port) } });
    return {};
}

Transport::LinkHub::Callbacks Agent::link_callbacks()
{
    return {
        .up = [this](Schema::Hello const& hello) { on_up(hello); },
        .message = [this](Schema::Hello const& hello, Schema::Message const& message) { on_message(hello, message); },
        .down = [this](std::string const& peer) { on_down(peer); },
        .failed = [this](Core::ErrorCode code) { m_metrics.count("mountbarrow_agent_link_failures_total", "reason=\"" + std::string(Core::error_name(code)) + "\""); },
    };
}

WeightsRunner::Callbacks Agent::weights_callbacks()
{
    return {
        .send = [this](std::string const& peer, Schema::Message const& message) { return m_hub->send(peer, message); },
        .set_neighbours = [this](std::map<std::string, Transport::LinkAddress> wanted) { m_hub->set_wanted(std::move(wanted)); },
        .linked_peers = [this] { return m_hub->peers(Schema::Role::Agent); },
        .in_flight = [this] { return m_requests->in_flight(); },
        .changed = [this] { report_soon(); },
    };
}

void Agent::on_up(Schema::Hello const& hello)
{
    Core::log_event(Core::LogLevel::Debug, "link_up", { { "peer", hello.identity } });
    for (auto const& message : m_replica.messages_since(hello.offset))
        m_hub->send(hello.identity, message);
    if (m_list.version() > hello.list_version) {
        Schema::Message message;
        message.members = m_list.members();
        m_hub->send(hello.identity, message);
    }
    if (hello.role == Schema::Role::Agent) {
        m_weights->on_peer_up(hello.identity);
        return;
    }
    // Whatever an older link of this entry left behind waits for its word to resume.
    m_requests->on_entry_down(hello.identity);
    send_report();
    ping();
}

void Agent::on_down(std::string const& peer)
{
    Core::log_event(Core::LogLevel::Debug, "link_down", { { "peer", peer } });
    m_leave_notice.on_peer_link_ended(peer);
    m_requests->on_entry_down(peer);
    m_weights->on_peer_down(peer);
}

void Agent::on_message(Schema::Hello const& from, Schema::Message const& message)
{
    if (message.members)
        on_members(*message.members);
    else if (m_replica.on_message(message))
        on_configuration();
    else if (message.chunk_map)
        m_weights->on_chunk_map(from.identity, *message.chunk_map);
    // What follows is for entries alone.
    if (from.role != Schema::Role::Entry)
        return;
    if (message.dispatch)
        m_requests->on_dispatch(from.identity, *message.dispatch);
    else if (message.acknowledge)
        m_requests->on_acknowledge(message.acknowledge->attempt, message.acknowledge->next_sequence);
    else if (message.resume)
        m_requests->on_resume(from.identity, *message.resume);
    else if (message.cancel)
        m_requests->on_cancel(message.cancel->attempt);
    else if (message.tally)
        m_weights->on_tally(*message.tally);
    else if (message.pong)
        on_pong(from.identity, *message.pong);
}

void Agent::on_pong(std::string const& entry, Schema::Pong const& pong)
{
    m_leave_notice.on_pong(entry, Core::Time(pong.sent_at_ms));
    if (pong.demand)
        m_demands[entry] = { Core::monotonic_now(), *pong.demand };
    std::optional<Core::WallTime> agents_unchanged_since;
    if (pong.set_since_ms)
        agents_unchanged_since = Core::WallTime(*pong.set_since_ms);
    m_key_home.on_pong(Core::Time(pong.sent_at_ms), pong.list_version, pong.confirmed, agents_unchanged_since);
}

void Agent::on_members(Schema::Members members)
{
    if (!m_list.update(std::move(members)))
        return;
    m_key_home.on_list(m_list, Core::wall_now());
    m_weights->update(m_replica.replayed_state(), m_list);
    // A new list ended the lease that was for the older one.
    ping();
}

void Agent::on_configuration()
{
    auto const& services = m_replica.replayed_state().services();
    auto const service = services.find(m_settings.service);
    if (service != services.end() && service->second.max_in_flight_per_instance)
        m_capacity = static_cast<size_t>(*service->second.max_in_flight_per_instance);
    m_weights->update(m_replica.replayed_state(), m_list);
    report_soon();
}

Routing::AdmissionView Agent::admission_view() const
{
    Routing::AdmissionView view;
    view.is_draining = m_stop.has_begun();
    view.is_switching = m_weights->is_switching();
    view.serving = m_weights->serving();
    view.capacity = m_capacity;
    view.now = Core::monotonic_now();
    view.wall_now = Core::wall_now();
    return view;
}

Schema::Report Agent::report() const
{
    Schema::Report report {};
    report.draining = m_stop.has_begun();
    report.in_flight = static_cast<int64_t>(m_requests->in_flight());
    report.capacity = static_cast<int64_t>(m_capacity);
    report.offset = m_replica.replayed_state().offset();
    m_weights->describe(report);
    return report;
}

void Agent::report_soon()
{
    if (!m_report_timer)
        m_report_timer = m_loop.after(report_delay, [this] { send_report(); });
}

void Agent::send_report()
{
    m_report_timer.reset();
    Schema::Message message;
    message.report = report();
    for (auto const& entry : m_hub->peers(Schema::Role::Entry))
        m_hub->send(entry, message);
}

void Agent::ping()
{
    Schema::Message message;
    message.ping.emplace();
    message.ping->sent_at_ms = Core::monotonic_now().count();
    message.ping->list_version = m_list.version();
    for (auto const& entry : m_hub->peers(Schema::Role::Entry))
        m_hub->send(entry, message);
    send_report();
    pass_demand_on();
}

void Agent::pass_demand_on()
{
    auto const now = Core::monotonic_now();
    std::erase_if(m_demands, [&](auto const& entry) { return now >= entry.second.heard_at + demand_lifetime; });
    for (auto const& entry : m_hub->peers(Schema::Role::Entry)) {
        Schema::Message message;
        message.demands.emplace();
        for (auto const& [other, demand] : m_demands) {
            if (other == entry)
                continue;
            Schema::EntryDemand said;
            said.entry = other;
            said.customers = demand.customers;
            message.demands->entries.push_back(std::move(said));
        }
        if (!message.demands->entries.empty())
            m_hub->send(entry, message);
    }
}

bool Agent::is_linked_to_entry() const
{
    return !m_hub->peers(Schema::Role::Entry).empty();
}

void Agent::read_platform_if_alone()
{
    auto const now = Core::monotonic_now();
    if (is_linked_to_entry())
        m_last_entry_seen = now;
    if (m_is_reading_platform || now < m_last_entry_seen + alone_before_reading)
        return;
    m_is_reading_platform = true;
    m_platform->read_list(m_list.version(), [this](auto members) {
        if (members.has_value())
            on_members(std::move(*members));
    });
    m_platform->read_log(m_replica.next_offset(), [this](auto batch) {
        m_is_reading_platform = false;
        if (batch.has_value() && m_replica.on_log(*batch))
            on_configuration();
    });
}

void Agent::on_http(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    auto const& path = exchange->path();
    if (path.starts_with(chunk_path)) {
        m_weights->chunk_server().serve(exchange, path.substr(chunk_path.size()));
    } else if (path == "/metrics") {
        m_metrics.set("mountbarrow_agent_in_flight", static_cast<double>(m_requests->in_flight()));
        m_metrics.set("mountbarrow_agent_link_bytes", static_cast<double>(m_hub->traffic().sent), "direction=\"sent\"");
        m_metrics.set("mountbarrow_agent_link_bytes", static_cast<double>(m_hub->traffic().received), "direction=\"received\"");
        m_metrics.set("mountbarrow_agent_configuration_offset", static_cast<double>(m_replica.replayed_state().offset()));
        m_metrics.set("mountbarrow_agent_configuration_divergences", static_cast<double>(m_replica.divergences()));
        exchange->reply(status_ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.to_prometheus());
    } else if (path == "/report") {
        exchange->reply(status_ok, { { "Content-Type", "application/json" } }, Schema::to_text(report()));
    } else if (path == "/healthz") {
        exchange->reply(m_stop.has_begun() ? 503 : status_ok, {}, {});
    } else {
        exchange->reply(status_not_found, {}, {});
    }
}

void Agent::drain()
{
    if (m_stop.has_begun())
        return;
    Core::log_event(Core::LogLevel::Info, "draining", { { "in_flight", std::to_string(m_requests->in_flight()) } });
    auto const now = Core::monotonic_now();
    auto const until_exit = Settings::duration_or(m_settings.drain_ms, default_drain);
    m_stop.begin({ .until_answers = until_exit - answers_before_exit, .until_exit = until_exit }, now);
    m_http->end_connections_gently();
    send_report();
    m_leave_notice.begin(m_hub->peers(Schema::Role::Entry), now);
    m_drain_timer = m_loop.every(drain_check, [this] { finish_when_idle(); });
}

Core::Duration Agent::lease() const
{
    return Settings::duration_or(m_settings.lease_ms, default_lease);
}

/// Whether no entry can still hand work over, and each has been sent all that it is told. An entry that says nothing for a whole
/// lease stands still or is gone.
bool Agent::has_taken_leave(Core::Duration waited) const
{
    if (waited >= lease())
        return true;
    return waited >= least_drain && m_leave_notice.is_acknowledged_by_all() && !m_hub->has_unsent();
}

void Agent::finish_when_idle()
{
    auto const now = Core::monotonic_now();
    bool const is_out_of_time = m_stop.is_out_of_time(now);
    if (!m_leave_notice.is_acknowledged_by_all())
        ping();
    if (is_out_of_time)
        m_broken_off += m_requests->break_off_unfinished();
    bool const has_told_entries = is_out_of_time && !m_hub->has_unsent();
    bool const is_idle = m_requests->is_idle() && has_taken_leave(m_stop.elapsed(now)) && m_http->stop_listening();
    if (!m_stop.must_exit(now) && !has_told_entries && !is_idle)
        return;
    Core::log_event(is_out_of_time ? Core::LogLevel::Warn : Core::LogLevel::Info, "stopped",
        { { "unfinished", std::to_string(m_broken_off) }, { "unaware_entries", std::to_string(m_leave_notice.unacknowledged_peers()) } });
    m_loop.stop();
}

}
