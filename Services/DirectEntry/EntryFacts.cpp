// SPDX-License-Identifier: BSD-2-Clause
#include "EntryFacts.h"

#include <LibConfiguration/LogPosition.h>
#include <LibCore/Log.h>
#include <LibTransport/Link.h>
#include <algorithm>

namespace DirectEntry {

// Part of the draining time limit that is reserved for one read of the list and for requests sent just before it.
static constexpr Core::Duration drain_reaction { 1000 };
static constexpr Core::Duration shortest_list_interval { 400 };
static constexpr Core::Duration longest_list_interval { 2000 };
// Part of the time limit for contact with the log that is reserved after a read that waited on a dead connection: for a second
// attempt if the first one fails too, and for putting the change in force.
static constexpr Core::Duration read_again_reserve { 700 };
static constexpr Core::Duration shortest_configuration_wait { 600 };
// Messages received over a link within this time after a pause may have been sent before it; a link over which nothing is received
// for longer is dropped.
static constexpr Core::Duration max_link_delay = Transport::LinkKeepAlive {}.silence;
// Entries that have run for long know when versions were named. Two are asked, as one of them may have just started.
static constexpr int max_version_requests = 2;
static constexpr Core::Duration request_interval { 1000 };
// Links are re-established and the log has been tried twice well before this.
static constexpr Core::Duration resume_without_facts_after { 3000 };

Platform::FactFollowerSettings follower_settings(Schema::DirectEntrySettingsBounds const& bounds)
{
    Platform::FactFollowerSettings result;
    if (bounds.contact_ms) {
        auto const wait = Core::Duration(*bounds.contact_ms) - result.answer_timeout - read_again_reserve;
        result.configuration_wait = std::clamp(wait, shortest_configuration_wait, result.configuration_wait);
        result.server_records.contact_time = Core::Duration(*bounds.contact_ms);
    }
    if (bounds.heartbeat_ms)
        result.server_records.heartbeat_interval = Core::Duration(*bounds.heartbeat_ms);
    result.servers_interval = std::clamp(Core::Duration(bounds.drain_ms) - drain_reaction, shortest_list_interval, longest_list_interval);
    return result;
}

static char const* topic_name(Configuration::FactTopic topic)
{
    return topic == Configuration::FactTopic::Configuration ? "configuration" : "backend_servers";
}

EntryFacts::EntryFacts(Core::EventLoop& loop, std::string const& identity, Sources sources, Platform::FactFollowerSettings settings, Core::Metrics& metrics, Callbacks callbacks)
    : m_log(std::move(sources.log))
    , m_metrics(metrics)
    , m_bad_records(metrics)
    , m_callbacks(std::move(callbacks))
    , m_pauses(loop)
    , m_follower(loop, m_pauses, *m_log, m_replica, settings, follower_callbacks())
    , m_stored_versions(loop, std::move(sources.versions), identity, m_replica, metrics, stored_versions_callbacks())
{
}

void EntryFacts::start()
{
    // Versions in the log are evaluated against the stored ones, so these are read first.
    m_stored_versions.start([this] { m_follower.start(); });
}

Platform::StoredVersions::Callbacks EntryFacts::stored_versions_callbacks()
{
    return {
        .read = [this](std::vector<Configuration::KnownVersion> const& known) { apply_known_versions(known); },
        .entries = [this] { return m_callbacks.entries(); },
        .bad_record = [this](Platform::BadRecord const& bad) { m_bad_records.report_record(bad); },
    };
}

void EntryFacts::apply_known_versions(std::vector<Configuration::KnownVersion> const& known)
{
    auto const changes = m_replica.on_known_versions(known, Core::monotonic_now());
    if (changes.has_any() || !changes.versions_with_changed_times.empty())
        on_changed(changes);
}

void EntryFacts::on_version_seen_at_engine(std::string const& model, int64_t version)
{
    apply_known_versions({ { .model = model, .version = version, .known = Core::monotonic_now() } });
}

void EntryFacts::on_changed(Configuration::FactChanges const& changes)
{
    for (auto const& key : changes.keys_with_older_records) {
        m_metrics.count("mountbarrow_older_records_total");
        Core::log_event(Core::LogLevel::Warn, "older_record", { { "key", key } });
    }
    for (auto const& id : changes.delayed_servers) {
        m_metrics.count("mountbarrow_delayed_server_records_total");
        Core::log_event(Core::LogLevel::Warn, "delayed_server_record", { { "server", id } });
    }
    m_callbacks.changed(changes);
    m_stored_versions.store_new_versions();
}

Platform::FactFollower::Callbacks EntryFacts::follower_callbacks()
{
    return {
        .changed = [this](Configuration::FactChanges const& changes) { on_changed(changes); },
        .read_failed = [this](Configuration::FactTopic topic, Platform::FactLogFault fault) { on_read_failed(topic, fault); },
        .read_recovered = [this](Configuration::FactTopic topic, Core::Duration lost_for) { on_read_recovered(topic, lost_for); },
        .bad_record = [this](Platform::BadRecord const& bad) { m_bad_records.report_record(bad); },
        .log_came_back_from_copy = [this] { on_log_came_back_from_copy(); },
    };
}

void EntryFacts::on_log_came_back_from_copy()
{
    m_metrics.count("mountbarrow_log_returns_total");
    m_stored_versions.on_log_came_back_from_copy();
    m_callbacks.log_came_back_from_copy();
}

// Pauses.

void EntryFacts::reread_after_pause()
{
    auto const now = Core::monotonic_now();
    auto const pause = m_pauses.last(now);
    m_resumed_at = now;
    m_paused_at = pause ? pause->began : now;
    m_has_current_peer_facts = false;
    // Earlier requests to other entries are lost with the links.
    m_behind_since.reset();
    m_version_requests = 0;
    m_follower.restart_reads();
}

bool EntryFacts::is_current_after_pause()
{
    m_pauses.check_for_pause();
    if (!m_resumed_at)
        return true;
    auto const now = Core::monotonic_now();
    // While this entry cannot read the log, another one that kept running has the latest facts. Without either, continue with the facts at
    // hand after a while.
    bool const is_over = m_follower.read_at() >= *m_resumed_at || m_has_current_peer_facts || now - *m_resumed_at >= resume_without_facts_after;
    if (is_over) {
        Core::log_event(Core::LogLevel::Info, "awake", { { "after_ms", std::to_string((now - *m_resumed_at).count()) }, { "heard", m_follower.read_at() >= *m_resumed_at ? "log" : m_has_current_peer_facts ? "entry"
                                                                                                                                                                                                            : "nobody" } });
        m_resumed_at.reset();
    }
    return is_over;
}

// The platform's log.

void EntryFacts::on_read_failed(Configuration::FactTopic topic, Platform::FactLogFault fault)
{
    char const* const reason = fault == Platform::FactLogFault::Refused ? "refused" : "unavailable";
    m_metrics.count("mountbarrow_log_failures_total", "reason=\"" + std::string(reason) + "\"");
    if (m_failing.insert(topic).second)
        Core::log_event(Core::LogLevel::Warn, "log_lost", { { "topic", topic_name(topic) }, { "reason", reason }, { "age_ms", std::to_string(ages(Core::monotonic_now()).older().count()) } });
    auto const message = request();
    std::vector<Platform::Peer> peers;
    for (auto const& entry : m_callbacks.entries())
        peers.push_back({ entry, m_callbacks.distance(entry) });
    for (auto const& entry : m_peer_selector.on_read_failed(topic, peers))
        m_callbacks.send(entry, message);
}

void EntryFacts::on_read_recovered(Configuration::FactTopic topic, Core::Duration lost_for)
{
    m_failing.erase(topic);
    m_peer_selector.on_read_recovered(topic);
    // The naming times of the versions read just now are estimates; entries that kept reading the log know better ones.
    if (topic == Configuration::FactTopic::Configuration)
        m_version_requests = 0;
    Core::log_event(Core::LogLevel::Info, "log_regained", { { "topic", topic_name(topic) }, { "lost_for_ms", std::to_string(lost_for.count()) } });
}

// Other entries.

/// Requests all facts that the receiver has and this entry lacks.
Schema::Message EntryFacts::request() const
{
    Schema::Message message;
    message.fact_request.emplace();
    auto const configuration_end = m_replica.end(Configuration::FactTopic::Configuration);
    auto const servers_end = m_replica.end(Configuration::FactTopic::BackendServers);
    message.fact_request->configuration_era = Configuration::era_of(configuration_end);
    message.fact_request->configuration_from = Configuration::offset_of(configuration_end);
    message.fact_request->servers_era = Configuration::era_of(servers_end);
    message.fact_request->servers_from = Configuration::offset_of(servers_end);
    message.fact_request->requested_at_ms = Core::monotonic_now().count();
    return message;
}

void EntryFacts::on_entry_linked(std::string const& entry)
{
    if (m_peer_selector.should_request_from_linked(m_callbacks.distance(entry)))
        m_callbacks.send(entry, request());
    request_versions(entry);
}

/// Other entries may know a version that the log did not bring to this one, or when a version was named.
void EntryFacts::request_versions(std::string const& entry)
{
    // Without a configuration this entry would be sent a whole one, and it serves no requests yet.
    if (m_version_requests >= max_version_requests || !m_replica.configuration())
        return;
    m_version_requests += 1;
    m_callbacks.send(entry, request());
}

std::optional<int64_t> EntryFacts::configuration_version() const
{
    auto const& configuration = m_replica.configuration();
    return configuration ? std::optional(configuration->version) : std::nullopt;
}

void EntryFacts::on_peer_log_position(std::string const& entry, int64_t configuration_end, std::optional<int64_t> configuration_version)
{
    bool const is_behind = configuration_end > m_replica.end(Configuration::FactTopic::Configuration);
    // An entry that starts reads the newest record of the log, which may be an older configuration that was written late.
    auto const own_version = this->configuration_version();
    bool const has_older = own_version && configuration_version && *configuration_version > *own_version;
    if (!is_behind && !has_older) {
        m_behind_since.reset();
        request_versions(entry);
        return;
    }
    // The other entry has read facts that this one has not: this one's read may be waiting on a dead connection.
    if (!may_request_again(entry, Core::monotonic_now()))
        return;
    auto message = request();
    if (!is_behind) {
        message.fact_request->configuration_era = 0;
        message.fact_request->configuration_from = 0;
    }
    m_callbacks.send(entry, message);
}

/// Whether this entry has been behind for long enough, and has not asked within the last second. Records the request if so.
bool EntryFacts::may_request_again(std::string const& entry, Core::Time now)
{
    auto const behind_since = m_behind_since.value_or(now);
    m_behind_since = behind_since;
    bool const may_ask = Platform::FactPeerSelector::should_request_from_newer(m_callbacks.distance(entry), now - behind_since);
    if (!may_ask || now - m_last_request_at < request_interval)
        return false;
    m_last_request_at = now;
    return true;
}

void EntryFacts::on_fact_request(std::string const& entry, Schema::FactRequest const& request)
{
    auto const now = Core::monotonic_now();
    Schema::Message answer;
    answer.facts = m_replica.facts_since(request, ages(now), now);
    m_callbacks.send(entry, answer);
}

void EntryFacts::on_batch(std::string const& entry, Schema::FactBatch const& batch)
{
    auto const now = Core::monotonic_now();
    auto const complete_at = m_follower.configuration_complete_until(now);
    auto const batch_ages = Configuration::ages_of(batch, now);
    // An entry that was paused too, or that the log turns away, may know nothing that was written meanwhile.
    bool const is_peer_current = now - batch_ages.older() > m_paused_at && batch_ages.older() <= m_follower.max_age_while_reading();
    m_has_current_peer_facts = m_has_current_peer_facts || is_peer_current;
    m_follower.on_peer_facts(batch_ages);
    auto const sent_at = m_pauses.earliest_arrival(now - max_link_delay, now);
    auto const changes = m_replica.on_peer(batch, { now, complete_at, sent_at });
    if (!changes.has_any() && changes.versions_with_changed_times.empty() && changes.delayed_servers.empty())
        return;
    Core::log_event(Core::LogLevel::Info, "facts_from_peer", { { "peer", entry }, { "configuration_age_ms", std::to_string(batch_ages.configuration.count()) }, { "servers_age_ms", std::to_string(batch_ages.servers.count()) }, { "facts", std::to_string(batch.facts.size()) } });
    on_changed(changes);
}

}
