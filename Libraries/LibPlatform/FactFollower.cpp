// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/FactFollower.h>

#include <LibConfiguration/LogPosition.h>
#include <LibCore/Log.h>
#include <algorithm>

namespace Platform {

static constexpr int max_retry_doublings = 8;
// One connection can die and the next call can be refused. With one more failure the log counts as unreachable, for everyone or for this
// instance alone; in the second case this instance receives new records from its peers.
static constexpr int failures_of_an_outage = 3;
// Backend servers that the log has lost write their records again within about two seconds of its return.
static constexpr Core::Duration records_written_again_within { 2500 };

FactFollower::FactFollower(Core::EventLoop& loop, Core::PauseWatch const& pauses, FactLog& log, Configuration::FactReplica& replica, FactFollowerSettings settings, Callbacks callbacks)
    : m_loop(loop)
    , m_pauses(pauses)
    , m_log(log)
    , m_replica(replica)
    , m_settings(settings)
    , m_callbacks(std::move(callbacks))
{
    m_replica.set_server_record_times(settings.server_records);
}

void FactFollower::start()
{
    if (std::exchange(m_is_running, true))
        return;
    read(m_configuration);
    read(m_servers);
}

void FactFollower::stop()
{
    m_is_running = false;
    m_configuration.timer.reset();
    m_servers.timer.reset();
}

void FactFollower::on_peer_facts(Configuration::FactAges const& ages)
{
    auto const now = Core::monotonic_now();
    m_configuration.current_at = std::max(m_configuration.current_at, now - ages.configuration);
    m_servers.current_at = std::max(m_servers.current_at, now - ages.servers);
}

void FactFollower::on_server_list_mismatch()
{
    bool const can_move_forward = m_is_running && !m_servers.is_reading && !m_servers.is_moved_forward && m_servers.failures == 0;
    if (!can_move_forward)
        return;
    m_servers.is_moved_forward = true;
    auto const due = m_servers.current_at + m_settings.mismatch_interval;
    schedule_read(m_servers, std::max(Core::Duration(0), due - Core::monotonic_now()));
}

Configuration::FactAges FactFollower::ages(Core::Time now) const
{
    return { .configuration = now - m_configuration.current_at, .servers = now - m_servers.current_at };
}

void FactFollower::read(Topic& topic)
{
    if (!m_is_running || topic.is_reading)
        return;
    topic.is_reading = true;
    topic.is_moved_forward = false;
    topic.read_before_began_at = topic.read_began_at;
    topic.read_began_at = Core::monotonic_now();
    auto const number = ++topic.read_number;
    bool const is_relisting_due = topic.list_again_at && topic.read_began_at >= *topic.list_again_at;
    topic.needs_listing = topic.needs_listing || is_relisting_due;
    auto const on_answer = [this, &topic, number, is_listing = topic.needs_listing](auto page) {
        if (number == topic.read_number)
            on_page(topic, page, is_listing);
    };
    if (topic.needs_listing)
        m_log.read_newest(topic.topic, timeouts(topic), on_answer);
    else
        m_log.read(topic.topic, m_replica.end(topic.topic), timeouts(topic), on_answer);
}

void FactFollower::restart_reads()
{
    if (!m_is_running)
        return;
    for (auto* topic : { &m_configuration, &m_servers }) {
        topic->is_reading = false;
        // After a failure reads do not wait for a record, so the log answers at once.
        topic->failures = std::max(topic->failures, 1);
        topic->gap_began_at = topic->gap_began_at.value_or(topic->read_began_at);
        read(*topic);
    }
}

ReadTimeouts FactFollower::timeouts(Topic const& topic) const
{
    bool const may_wait = topic.topic == Configuration::FactTopic::Configuration && topic.failures == 0;
    ReadTimeouts timeouts;
    timeouts.wait = may_wait ? m_settings.configuration_wait : Core::Duration(0);
    timeouts.answer = topic.failures > 1 ? m_settings.longest_answer_timeout : m_settings.answer_timeout;
    return timeouts;
}

void FactFollower::on_page(Topic& topic, tl::expected<FactPage, FactLogFault> const& page, bool is_listing)
{
    topic.is_reading = false;
    if (!m_is_running)
        return;
    if (page.has_value() && is_listing && needs_history(topic, *page))
        read_history(topic, *page);
    else if (page.has_value())
        apply_page(topic, *page, is_listing);
    else
        on_failed(topic, page.error());
}

/// The newest record of a key may be older than the one before it if its write was delayed. Processes that were running then know the newer
/// record. A process that starts finds it in the history, which it reads before it applies anything.
bool FactFollower::needs_history(Topic const& topic, FactPage const& listing) const
{
    if (topic.topic == Configuration::FactTopic::Configuration)
        return !topic.has_read_history;
    // After its return from a copy the log's history is that of the copy, and may be older than all that is known here.
    bool const is_empty = Configuration::offset_of(listing.end) == 0;
    return !is_empty && !topic.list_again_at && !m_replica.is_of_later_era(topic.topic, listing.end);
}

void FactFollower::read_history(Topic& topic, FactPage const& listing)
{
    topic.is_reading = true;
    ReadTimeouts timeouts;
    timeouts.answer = m_settings.answer_timeout;
    m_log.read_history(topic.topic, listing.end, timeouts, [this, &topic, listing, number = topic.read_number](auto const& history) {
        if (number != topic.read_number)
            return;
        topic.is_reading = false;
        topic.has_read_history = true;
        if (!m_is_running)
            return;
        if (!history.has_value())
            Core::log_event(Core::LogLevel::Warn, "history_unread", { { "end", std::to_string(listing.end) } });
        apply_page(topic, listing, true, history.has_value() ? *history : FactPage {});
    });
}

void FactFollower::on_failed(Topic& topic, FactLogFault fault)
{
    bool const is_outage = topic.failures + 1 >= failures_of_an_outage && fault != FactLogFault::HistoryGone;
    topic.gap_began_at = is_outage ? topic.read_began_at : topic.gap_began_at.value_or(topic.read_began_at);
    if (fault == FactLogFault::HistoryGone) {
        topic.needs_listing = true;
        schedule_read(topic, Core::Duration(0));
        return;
    }
    schedule_read(topic, retry_wait(topic, fault));
    topic.failures += 1;
    m_callbacks.read_failed(topic.topic, fault);
}

/// Returns the facts of a page of the list of backend servers, with an Unreadable fact for each record that could not be decoded.
static std::vector<Configuration::Fact> with_unreadable_servers(FactPage const& page)
{
    auto facts = page.facts;
    for (auto const& bad : page.bad)
        facts.push_back({ Schema::FactKind::BackendServer, bad.key, bad.revision, Configuration::Unreadable {} });
    std::stable_sort(facts.begin(), facts.end(), [](auto const& a, auto const& b) { return a.revision < b.revision; });
    return facts;
}

void FactFollower::apply_page(Topic& topic, FactPage const& page, bool is_listing, FactPage const& history)
{
    auto const now = Core::monotonic_now();
    Configuration::ReadTime const read { now, earliest_write_time(topic, now) };
    bool const is_recovered = topic.failures > 0;
    auto const lost_for = now - topic.current_at;
    topic.failures = 0;
    topic.gap_began_at.reset();
    // The records of the next page may be as old as those of this one.
    if (page.end < page.log_end)
        topic.gap_began_at = read.written_after;
    topic.has_been_read = true;
    topic.needs_listing = false;
    topic.current_at = now;
    topic.read_at = now;
    if (is_recovered)
        m_callbacks.read_recovered(topic.topic, lost_for);
    for (auto const& bad : page.bad)
        m_callbacks.bad_record(bad);
    // Bad records of the operator leave the previous value in force, so no fact is made of them.
    bool const is_configuration = topic.topic == Configuration::FactTopic::Configuration;
    bool const has_unreadable_servers = !is_configuration && !page.bad.empty();
    auto const extended = has_unreadable_servers ? with_unreadable_servers(page) : std::vector<Configuration::Fact> {};
    auto const& facts = has_unreadable_servers ? extended : page.facts;
    bool const is_of_new_era = is_listing && m_replica.is_of_later_era(topic.topic, page.end);
    if (is_listing)
        topic.list_again_at = is_of_new_era ? std::optional(now + records_written_again_within) : std::nullopt;
    if (is_of_new_era) {
        Core::log_event(Core::LogLevel::Warn, "log_came_back_from_copy", { { "era", std::to_string(Configuration::era_of(page.end)) }, { "end", std::to_string(Configuration::offset_of(page.end)) } });
        m_callbacks.log_came_back_from_copy();
    }
    Configuration::FactChanges changes;
    if (!is_configuration)
        changes = m_replica.on_server_history(with_unreadable_servers(history), read);
    changes.add(is_listing ? m_replica.on_listing(topic.topic, facts, page.end, read) : m_replica.on_records(topic.topic, facts, page.end, read));
    if (is_configuration)
        changes.add(m_replica.on_history(history.facts, read));
    schedule_read(topic, is_configuration ? Core::Duration(0) : m_settings.servers_interval);
    if (changes.has_any() || !changes.delayed_servers.empty())
        m_callbacks.changed(changes);
}

std::optional<Core::Time> FactFollower::earliest_write_time(Topic const& topic, Core::Time now) const
{
    if (!topic.has_been_read)
        return {};
    // A read of the list does not wait for records, so they may have been written since the read before it.
    bool const is_list = topic.topic == Configuration::FactTopic::BackendServers;
    // If the process was paused during a read, its empty answer does not prove that nothing was written until now.
    auto const last_read = is_list ? topic.read_before_began_at : topic.is_reading ? topic.read_began_at
                                                                                   : now;
    return std::min(topic.gap_began_at.value_or(last_read), m_pauses.earliest_arrival(topic.read_before_began_at, now));
}

Core::Duration FactFollower::retry_wait(Topic const& topic, FactLogFault fault) const
{
    // A single unanswered or broken connection does not mean that the log is down: retry at once on a new one.
    if (topic.failures == 0 && fault == FactLogFault::Unavailable)
        return Core::Duration(0);
    // Each call to the log is charged, even one that it refuses.
    auto const doublings = std::min(topic.failures, max_retry_doublings);
    return std::min(m_settings.longest_retry_interval, m_settings.retry_interval * (1 << doublings));
}

void FactFollower::schedule_read(Topic& topic, Core::Duration wait)
{
    topic.timer = m_loop.after(wait, [this, &topic] { read(topic); });
}

}
