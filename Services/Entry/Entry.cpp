// SPDX-License-Identifier: BSD-2-Clause
#include "Entry.h"

#include "Problems.h"
#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <LibPlatform/HttpPlatform.h>
#include <LibSchema/Json.h>

namespace Entry {

static constexpr Core::Duration default_lease { 3000 };
static constexpr Core::Duration default_list_poll { 500 };
static constexpr Core::Duration default_log_poll { 200 };
static constexpr Core::Duration default_drain { 30000 };
static constexpr Core::Duration default_resume { 3000 };
static constexpr Core::Duration default_accept_wait { 1000 };
static constexpr Core::Duration default_deadline { 30000 };
static constexpr Core::Duration default_retention { 3600000 };
static constexpr Core::Duration default_idle_timeout { 60000 };
static constexpr int64_t default_header_bytes = 32 * 1024;
static constexpr int64_t default_body_bytes = 4 * 1024 * 1024;
static constexpr double default_retry_ratio = 0.1;
static constexpr int64_t default_links_per_service = 16;
static constexpr Core::Duration tally_interval { 100 };
static constexpr Core::Duration check_interval { 250 };
// A gap this long between two checks means that this process was paused and its view is old.
static constexpr Core::Duration pause_noticed { 1500 };
// The balancer's health checks need this long to send callers elsewhere.
static constexpr Core::Duration health_grace { 500 };
static constexpr Core::Duration drain_check { 20 };
// For the answers to what is unfinished at the end to be sent.
static constexpr Core::Duration answers_before_exit { 300 };
static constexpr int status_ok = 200;
static constexpr int status_unavailable = 503;

Core::ErrorOr<std::unique_ptr<Entry>> Entry::create(Core::EventLoop& loop, Schema::EntrySettings const& settings)
{
    auto keys = TRY(Transport::read_keys(*settings.key_file));
    std::map<std::string, Settings::OperatorRole> tokens;
    if (settings.tokens_file)
        tokens = TRY(Settings::load_tokens(*settings.tokens_file));
    else
        Core::log_event(Core::LogLevel::Warn, "no_tokens_file", { { "effect", "the operators' API refuses everybody" } });
    std::unique_ptr<Entry> entry(new Entry(loop, settings, std::move(keys), std::move(tokens)));
    TRY(entry->listen());
    return entry;
}

static CallerApiSettings caller_settings(Schema::EntrySettings const& settings, int64_t incarnation)
{
    CallerApiSettings result;
    result.identity = settings.identity;
    result.incarnation = incarnation;
    result.limits.max_body_bytes = static_cast<size_t>(settings.max_body_bytes.value_or(default_body_bytes));
    result.limits.default_deadline = Settings::duration_or(settings.default_deadline_ms, default_deadline);
    result.retry_ratio = settings.retry_ratio.value_or(default_retry_ratio);
    result.flow.resume_timeout = Settings::duration_or(settings.resume_ms, default_resume);
    result.flow.accept_timeout = Settings::duration_or(settings.accept_wait_ms, default_accept_wait);
    result.table.choice = settings.choice.value_or(Schema::Choice::Prefix);
    result.seed = Core::stable_hash(settings.identity, std::to_string(incarnation));
    return result;
}

Entry::Entry(Core::EventLoop& loop, Schema::EntrySettings const& settings, std::vector<std::string> keys, std::map<std::string, Settings::OperatorRole> tokens)
    : m_loop(loop)
    , m_settings(settings)
    , m_snapshots(Settings::duration_or(settings.retention_ms, default_retention), Core::stable_hash(settings.identity))
    , m_platform(std::make_unique<Platform::HttpPlatform>(loop, settings.platform_address, static_cast<uint16_t>(settings.platform_port)))
    , m_last_check(Core::monotonic_now())
{
    auto const incarnation = Core::wall_now().count();
    Transport::LinkOptions options;
    options.identity = { settings.identity, Schema::Role::Entry, incarnation };
    options.keys = std::move(keys);
    options.offset = [this] { return m_replica.replayed_state().offset(); };
    options.list_version = [this] { return m_list.version(); };
    m_hub = std::make_unique<Transport::LinkHub>(loop, std::move(options), link_callbacks());
    m_callers = std::make_unique<CallerApi>(loop, caller_settings(settings, incarnation), m_metrics, *m_hub, m_list, m_replica.replayed_state(), m_stop, [this] { return is_configuration_confirmed(); });
    m_operators = std::make_unique<OperatorApi>(loop, m_metrics, m_replica, m_tally, *m_platform, std::move(tokens), m_stop, [this] { return is_configuration_confirmed(); });
    m_list_timer = loop.every(Settings::duration_or(settings.list_poll_ms, default_list_poll), [this] { read_list(); });
    m_log_timer = loop.every(Settings::duration_or(settings.log_poll_ms, default_log_poll), [this] { read_log(); });
    m_tally_timer = loop.every(tally_interval, [this] { send_tallies(); });
    m_check_timer = loop.every(check_interval, [this] {
        drop_silent_links();
        write_snapshot_if_due();
    });
    read_list();
    read_log();
}

Entry::~Entry() = default;

Core::Duration Entry::lease() const
{
    return Settings::duration_or(m_settings.lease_ms, default_lease);
}

static Transport::IngressLimits ingress_limits(Schema::EntrySettings const& settings)
{
    auto const idle_timeout = Settings::duration_or(settings.idle_timeout_ms, default_idle_timeout);
    Transport::IngressLimits limits;
    limits.max_head_bytes = static_cast<size_t>(settings.max_header_bytes.value_or(default_header_bytes));
    // A body over the limit is refused by CallerApi, which tells the reason; this bound only guards the memory.
    limits.max_body_bytes = 2 * static_cast<size_t>(settings.max_body_bytes.value_or(default_body_bytes));
    limits.head_timeout = idle_timeout;
    limits.idle_timeout = idle_timeout;
    limits.untaken_answer_limit = idle_timeout;
    limits.max_memory_bytes = static_cast<size_t>(settings.request_memory_bytes.value_or(static_cast<int64_t>(limits.max_memory_bytes)));
    limits.max_connections = static_cast<size_t>(settings.max_caller_connections.value_or(static_cast<int64_t>(limits.max_connections)));
    return limits;
}

static Schema::Reason reason_of(Transport::IngressFault fault)
{
    if (fault == Transport::IngressFault::Stopping)
        return Schema::Reason::Stopping;
    if (fault == Transport::IngressFault::Overloaded)
        return Schema::Reason::QueueFull;
    bool const is_too_large = fault == Transport::IngressFault::HeadTooLarge || fault == Transport::IngressFault::BodyTooLarge;
    return is_too_large ? Schema::Reason::TooLarge : Schema::Reason::Malformed;
}

Core::ErrorOr<void> Entry::listen()
{
    auto on_fault = [this](Transport::IngressFault fault, Transport::MessageHead const&) {
        m_metrics.count("mountbarrow_entry_ingress_faults_total", "fault=\"" + std::to_string(static_cast<int>(fault)) + "\"");
        bool const is_unavailable = fault == Transport::IngressFault::Stopping || fault == Transport::IngressFault::Overloaded;
        auto const retry_after = is_unavailable ? stopping_retry_after : Core::Duration(0);
        auto const problem = problem_for(Schema::Outcome::NotRun, reason_of(fault), retry_after);
        return Transport::FaultAnswer { problem_headers(problem), Schema::to_text(problem) };
    };
    auto handler = [this](std::shared_ptr<Transport::IngressRequest> const& exchange) { on_http(exchange); };
    m_http = TRY(Transport::IngressServer::create(m_loop, m_settings.address, static_cast<uint16_t>(m_settings.http_port), handler, on_fault));
    m_http->set_limits(ingress_limits(m_settings));
    Core::log_event(Core::LogLevel::Info, "started", { { "http_port", std::to_string(m_http->port()) } });
    return {};
}

Transport::LinkHub::Callbacks Entry::link_callbacks()
{
    return {
        .up = [this](Schema::Hello const& hello) { on_up(hello); },
        .message = [this](Schema::Hello const& hello, Schema::Message const& message) { on_message(hello, message); },
        .down = [this](std::string const& agent) { on_down(agent); },
        .failed = [this](Core::ErrorCode code) { m_metrics.count("mountbarrow_entry_link_failures_total", "reason=\"" + std::string(Core::error_name(code)) + "\""); },
    };
}

void Entry::on_up(Schema::Hello const& hello)
{
    Core::log_event(Core::LogLevel::Debug, "link_up", { { "agent", hello.identity } });
    m_last_heard[hello.identity] = Core::monotonic_now();
    if (m_list.version() > hello.list_version) {
        Schema::Message message;
        message.members = m_list.members();
        m_hub->send(hello.identity, message);
    }
    for (auto const& message : m_replica.messages_since(hello.offset))
        m_hub->send(hello.identity, message);
    // A new link knows no tally.
    m_told_ready.clear();
    m_callers->on_link_up(hello);
}

void Entry::on_down(std::string const& agent)
{
    Core::log_event(Core::LogLevel::Info, "link_down", { { "agent", agent } });
    m_last_heard.erase(agent);
    m_tally.on_instance_lost(agent);
    m_callers->on_link_down(agent);
}

void Entry::on_message(Schema::Hello const& from, Schema::Message const& message)
{
    m_last_heard[from.identity] = Core::monotonic_now();
    auto const offset = m_replica.replayed_state().offset();
    if (message.ping)
        on_ping(from, *message.ping);
    else if (message.members)
        on_members(*message.members);
    else if (m_replica.on_message(message))
        on_configuration(offset);
    else if (message.report)
        m_tally.on_report(from.identity, from.incarnation, *message.report, Core::monotonic_now());
    m_callers->on_message(from, message);
}

bool Entry::is_list_confirmed() const
{
    return m_list_read_at && Core::monotonic_now() < *m_list_read_at + lease();
}

bool Entry::is_configuration_confirmed() const
{
    return m_log_read_at && Core::monotonic_now() < *m_log_read_at + lease();
}

/// Whether callers may be sent here: an entry that knows no configuration can only refuse them.
bool Entry::is_ready() const
{
    bool const knows_configuration = m_log_read_at || m_replica.replayed_state().offset() >= 0;
    return knows_configuration && !m_stop.has_begun();
}

void Entry::on_ping(Schema::Hello const& from, Schema::Ping const& ping)
{
    Schema::Message message;
    message.pong.emplace();
    message.pong->sent_at_ms = ping.sent_at_ms;
    message.pong->list_version = m_list.version();
    message.pong->confirmed = is_list_confirmed();
    auto const* instance = m_list.find(from.identity);
    auto const since = instance ? m_set_history.since(instance->service) : std::nullopt;
    if (since)
        message.pong->set_since_ms = since->count();
    if (Membership::is_demand_relay(from.identity, m_list))
        message.pong->demand = m_callers->own_demand();
    m_hub->send(from.identity, message);
}

void Entry::read_list()
{
    if (m_is_reading_list)
        return;
    m_is_reading_list = true;
    auto const asked_at = Core::monotonic_now();
    m_platform->read_list(m_list.version(), [this, asked_at](Core::ErrorOr<Schema::Members> members) {
        m_is_reading_list = false;
        if (!members.has_value()) {
            m_metrics.count("mountbarrow_entry_platform_failures_total", "call=\"list\"");
            return;
        }
        // An older version than ours comes from a reader that lags: it confirms nothing.
        if (members->version >= m_list.version())
            m_list_read_at = asked_at;
        on_members(std::move(*members));
    });
}

void Entry::on_members(Schema::Members members)
{
    if (!m_list.update(std::move(members)))
        return;
    Core::log_event(Core::LogLevel::Info, "list_changed", { { "version", std::to_string(m_list.version()) }, { "instances", std::to_string(m_list.members().instances.size()) } });
    m_set_history.on_list(m_list, Core::wall_now());
    m_callers->update();
    update_links();
    Schema::Message message;
    message.members = m_list.members();
    send_to_agents(message);
}

void Entry::update_links()
{
    std::map<std::string, Transport::LinkAddress> wanted;
    auto const per_service = static_cast<size_t>(m_settings.links_per_service.value_or(default_links_per_service));
    for (auto const& id : Membership::agents_linked_to(m_settings.identity, m_list, per_service)) {
        auto const* instance = m_list.find(id);
        wanted[id] = { instance->address, static_cast<uint16_t>(instance->link_port) };
    }
    m_hub->set_wanted(std::move(wanted));
}

void Entry::read_log()
{
    if (m_is_reading_log)
        return;
    m_is_reading_log = true;
    m_platform->read_log(m_replica.next_offset(), [this, asked_at = Core::monotonic_now()](Core::ErrorOr<Configuration::LogBatch> batch) {
        m_is_reading_log = false;
        if (!batch.has_value()) {
            m_metrics.count("mountbarrow_entry_platform_failures_total", "call=\"log\"");
            return;
        }
        auto const previous = m_replica.replayed_state().offset();
        for (size_t i = 0; i < batch->records.size(); ++i)
            m_snapshots.on_record();
        if (m_replica.on_log(*batch))
            on_configuration(previous);
        bool const is_at_end = m_replica.next_offset() >= batch->end;
        if (is_at_end)
            m_log_read_at = asked_at;
        // There may be more than one page.
        if (!batch->records.empty() && !is_at_end)
            m_loop.soon([this] { read_log(); });
    });
}

void Entry::on_configuration(int64_t previous_offset)
{
    if (m_replica.newest_snapshot_offset() != m_known_snapshot) {
        m_known_snapshot = m_replica.newest_snapshot_offset();
        m_snapshots.on_snapshot_read(Core::monotonic_now());
    }
    m_tally.on_configuration(m_replica.replayed_state(), Core::monotonic_now());
    for (auto const& message : m_replica.messages_since(previous_offset))
        send_to_agents(message);
    m_callers->update();
    m_operators->on_configuration();
}

void Entry::send_to_agents(Schema::Message const& message)
{
    for (auto const& agent : m_hub->peers(Schema::Role::Agent))
        m_hub->send(agent, message);
}

void Entry::send_tallies()
{
    for (auto const& [name, spec] : m_replica.replayed_state().rollouts()) {
        auto ready = m_tally.ready(name);
        auto const told = m_told_ready.find(name);
        if (told != m_told_ready.end() && told->second == ready)
            continue;
        Schema::Message message;
        message.tally.emplace();
        message.tally->rollout = name;
        message.tally->revision = m_replica.replayed_state().rollout_revision(name);
        message.tally->ready = ready;
        // FIXME: An entry that is linked to a part of a service's agents tallies that part only.
        send_to_agents(message);
        m_told_ready[name] = std::move(ready);
    }
}

void Entry::write_snapshot_if_due()
{
    bool const has_state = m_replica.replayed_state().offset() >= 0;
    if (!has_state || !m_snapshots.poll_due(Core::monotonic_now()))
        return;
    m_metrics.count("mountbarrow_entry_snapshots_total");
    m_platform->append(m_replica.snapshot_record(), [](Core::ErrorOr<int64_t> const&) {
        // Whether it took effect is seen on the log; until then it stays due.
    });
}

void Entry::drop_silent_links()
{
    auto const now = Core::monotonic_now();
    bool const was_paused = now - m_last_check > pause_noticed;
    m_last_check = now;
    if (was_paused) {
        // What was heard lies unread in the sockets: silence proves nothing yet.
        Core::log_event(Core::LogLevel::Warn, "was_paused");
        m_list_read_at.reset();
        m_log_read_at.reset();
        for (auto& [agent, heard] : m_last_heard)
            heard = now;
        return;
    }
    std::vector<std::string> silent;
    for (auto const& [agent, heard] : m_last_heard) {
        if (now >= heard + lease())
            silent.push_back(agent);
    }
    for (auto const& agent : silent) {
        m_metrics.count("mountbarrow_entry_silent_links_total");
        m_hub->drop(agent);
    }
}

void Entry::on_http(std::shared_ptr<Transport::IngressRequest> const& exchange)
{
    auto const path = exchange->parsed_target().path;
    if (path == "/healthz")
        exchange->reply(is_ready() ? status_ok : status_unavailable, {}, {});
    else if (path == "/metrics")
        reply_metrics(*exchange);
    else if (path == "/api/v1/status")
        reply_status(*exchange);
    else if (path.starts_with("/api/v1/"))
        m_operators->handle(exchange);
    else
        m_callers->handle(exchange);
}

void Entry::reply_metrics(Transport::IngressRequest& exchange)
{
    m_metrics.set("mountbarrow_entry_in_flight", static_cast<double>(m_callers->in_flight()));
    m_metrics.set("mountbarrow_entry_queued", static_cast<double>(m_callers->queued()));
    m_metrics.set("mountbarrow_entry_links", static_cast<double>(m_last_heard.size()));
    m_metrics.set("mountbarrow_entry_link_bytes", static_cast<double>(m_hub->traffic().sent), "direction=\"sent\"");
    m_metrics.set("mountbarrow_entry_link_bytes", static_cast<double>(m_hub->traffic().received), "direction=\"received\"");
    m_metrics.set("mountbarrow_entry_configuration_offset", static_cast<double>(m_replica.replayed_state().offset()));
    m_metrics.set("mountbarrow_entry_configuration_divergences", static_cast<double>(m_replica.divergences()));
    exchange.reply(status_ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.to_prometheus());
}

void Entry::reply_status(Transport::IngressRequest& exchange)
{
    nlohmann::json value;
    value["identity"] = m_settings.identity;
    value["offset"] = m_replica.replayed_state().offset();
    value["chain"] = m_replica.replayed_state().chain();
    value["list_version"] = m_list.version();
    value["list_confirmed"] = is_list_confirmed();
    value["links"] = m_last_heard.size();
    value["in_flight"] = m_callers->in_flight();
    value["draining"] = m_stop.has_begun();
    exchange.reply(status_ok, { { "Content-Type", "application/json" } }, value.dump());
}

void Entry::drain()
{
    if (m_stop.has_begun())
        return;
    Core::log_event(Core::LogLevel::Info, "draining", { { "in_flight", std::to_string(m_callers->in_flight()) } });
    auto const until_exit = Settings::duration_or(m_settings.drain_ms, default_drain);
    m_stop.begin({ .notice = health_grace, .until_answers = until_exit - answers_before_exit, .until_exit = until_exit }, Core::monotonic_now());
    m_http->end_connections_gently();
    m_drain_timer = m_loop.every(drain_check, [this] { finish_when_idle(); });
}

void Entry::finish_when_idle()
{
    auto const now = Core::monotonic_now();
    if (!m_stop.is_notice_over(now))
        return;
    m_operators->end_watches();
    bool const is_out_of_time = m_stop.is_out_of_time(now);
    // Callers who still connect are told that this entry stops, before they find nobody.
    if (is_out_of_time || m_stop.elapsed(now) >= 2 * health_grace)
        m_http->stop_accepting();
    if (is_out_of_time)
        give_up_unfinished();
    bool const is_idle = m_callers->in_flight() == 0 && m_operators->pending_changes() == 0;
    if (!m_stop.must_exit(now) && !(is_idle && m_http->has_finished()))
        return;
    Core::log_event(is_out_of_time ? Core::LogLevel::Warn : Core::LogLevel::Info, "stopped",
        { { "unfinished", std::to_string(m_given_up) }, { "connections", std::to_string(m_http->connection_count()) } });
    m_loop.stop();
}

void Entry::give_up_unfinished()
{
    m_given_up += m_callers->in_flight() + m_operators->pending_changes();
    m_callers->give_up_unfinished();
    m_operators->give_up_unfinished();
    m_http->refuse_unread();
}

}
