// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/StoredVersions.h>

#include <LibCore/Log.h>
#include <LibPlatform/WriterTurns.h>
#include <algorithm>

namespace Platform {

// The store answers within a few milliseconds, and the entry serves nothing before this read is answered or has timed out.
static constexpr Core::Duration read_timeout { 600 };
// Timeout after a failed read, as a network path may be saturated.
static constexpr Core::Duration longest_read_timeout { 1200 };
static constexpr Core::Duration retry_interval { 300 };
static constexpr Core::Duration longest_retry_interval { 2400 };
static constexpr int max_doublings = 3;
// The set of linked entries seldom changes, but an entry that was responsible for a record may have terminated.
static constexpr Core::Duration write_check_interval { 500 };
// The deadlines of older versions have long passed.
static constexpr size_t max_stored_per_model = 16;

StoredVersions::StoredVersions(Core::EventLoop& loop, std::unique_ptr<VersionRecords> records, std::string identity, Configuration::FactReplica const& facts, Core::Metrics& metrics, Callbacks callbacks)
    : m_loop(loop)
    , m_records(std::move(records))
    , m_identity(std::move(identity))
    , m_facts(facts)
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_is_read(!m_records)
{
}

static Core::Duration retry_wait(int failures)
{
    return std::min(longest_retry_interval, retry_interval * (1 << std::min(failures, max_doublings)));
}

void StoredVersions::start(std::function<void()> then)
{
    if (m_is_read) {
        then();
        return;
    }
    m_on_first_read = std::move(then);
    m_write_timer = m_loop.every(write_check_interval, [this] { store_new_versions(); });
    read();
}

void StoredVersions::read()
{
    auto const timeout = m_failures == 0 ? read_timeout : longest_read_timeout;
    m_records->read({ .wait = Core::Duration(0), .answer = timeout }, [this](auto const& page) { on_read(page); });
}

void StoredVersions::on_read(tl::expected<VersionRecords::Page, FactLogFault> const& page)
{
    if (page.has_value()) {
        apply_page(*page);
    } else {
        Core::log_event(Core::LogLevel::Warn, "kept_versions_unread", { { "failures", std::to_string(m_failures + 1) } });
        m_read_timer = m_loop.after(retry_wait(m_failures++), [this] { read(); });
    }
    if (auto const then = std::exchange(m_on_first_read, nullptr))
        then();
}

void StoredVersions::apply_page(VersionRecords::Page const& page)
{
    m_is_read = true;
    m_failures = 0;
    auto const now = Core::monotonic_now();
    auto const wall_now = Core::wall_now();
    std::vector<Configuration::KnownVersion> known;
    for (auto const& each : page.versions) {
        m_stored.emplace(each.model, each.version);
        // A time before the epoch or in the future comes from a wrong clock.
        auto const known_at = std::clamp(Core::Time(each.known_at_ms), Core::Time(0), wall_now);
        auto const age = wall_now - known_at;
        known.push_back({ each.model, each.version, now - age });
    }
    for (auto const& bad : page.bad)
        m_callbacks.bad_record(bad);
    Core::log_event(Core::LogLevel::Info, "kept_versions_read", { { "versions", std::to_string(known.size()) } });
    m_callbacks.read(known);
}

void StoredVersions::on_log_came_back_from_copy()
{
    if (!m_records)
        return;
    m_stored.clear();
    m_is_read = false;
    read();
}

bool StoredVersions::is_responsible_for(Version const& version, Core::Duration known_for) const
{
    return should_write_record(version.first + "/" + std::to_string(version.second), m_identity, m_callbacks.entries(), known_for);
}

void StoredVersions::store_new_versions()
{
    auto const now = Core::monotonic_now();
    if (!m_records || !m_is_read || m_is_writing || now < m_next_write_at)
        return;
    for (auto const& [model, named] : m_facts.versions()) {
        auto const surplus = named.versions.size() - std::min(named.versions.size(), max_stored_per_model);
        for (size_t i = surplus; i < named.versions.size(); ++i) {
            Version const version { model, named.versions[i].version };
            if (m_stored.contains(version) || !is_responsible_for(version, now - named.versions[i].found))
                continue;
            write(version, named.versions[i]);
            return;
        }
    }
}

/// Returns the stored versions of a model that must be removed so that, with one more, only the newest ones are stored.
std::vector<Schema::ModelVersion> StoredVersions::surplus_versions(std::string const& model) const
{
    std::vector<Schema::ModelVersion> versions;
    for (auto const& [stored_model, version] : m_stored) {
        if (stored_model == model)
            versions.push_back({ .model = model, .version = version });
    }
    versions.resize(versions.size() - std::min(versions.size(), max_stored_per_model - 1));
    return versions;
}

void StoredVersions::write(Version const& version, Configuration::NamedVersion const& named)
{
    m_is_writing = true;
    auto const known_for = Core::monotonic_now() - std::min(named.known, named.remembered.value_or(named.known));
    Schema::KeptVersion const record { .known_at_ms = (Core::wall_now() - known_for).count(), .model = version.first, .version = version.second };
    auto const removed = surplus_versions(version.first);
    m_records->write(record, removed, [this, version, removed](bool is_done) { on_written(version, removed, is_done); });
}

void StoredVersions::on_written(Version const& version, std::vector<Schema::ModelVersion> const& removed, bool is_done)
{
    m_is_writing = false;
    m_metrics.count("mountbarrow_version_records_total", std::string("outcome=\"") + (is_done ? "written" : "failed") + "\"");
    Core::log_event(is_done ? Core::LogLevel::Info : Core::LogLevel::Warn, "version_kept", { { "model", version.first }, { "version", std::to_string(version.second) }, { "outcome", is_done ? "written" : "failed" } });
    if (!is_done) {
        m_next_write_at = Core::monotonic_now() + retry_wait(m_failures++);
        return;
    }
    m_failures = 0;
    m_stored.insert(version);
    for (auto const& each : removed)
        m_stored.erase({ each.model, each.version });
    m_loop.soon([this] { store_new_versions(); });
}

}
