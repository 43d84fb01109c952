// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/StoredBlames.h>

#include <LibCore/Log.h>
#include <LibPlatform/WriterTurns.h>
#include <algorithm>

namespace Platform {

static constexpr Core::Duration read_timeout { 600 };
static constexpr Core::Duration retry_interval { 300 };
static constexpr Core::Duration longest_retry_interval { 2400 };
static constexpr int max_doublings = 3;
// Backend servers terminate in groups, and each read is charged.
static constexpr Core::Duration min_read_interval { 2000 };
static constexpr Core::Duration write_check_interval { 500 };
// Longer than any fallback writer waits: an entry that is not responsible for a record by then never will be.
static constexpr Core::Duration others_write_timeout { 6000 };
// Entries keep blames in memory for the same time.
static constexpr Core::Duration lifetime { std::chrono::hours(24) };
// Limits what a foreign writer may add to the store; the newest blames are used.
static constexpr size_t max_used = 256;

StoredBlames::StoredBlames(Core::EventLoop& loop, std::unique_ptr<BlameRecords> records, std::string identity, Core::Metrics& metrics, Callbacks callbacks)
    : m_loop(loop)
    , m_records(std::move(records))
    , m_identity(std::move(identity))
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
{
}

void StoredBlames::read()
{
    if (!m_records || m_is_reading)
        return;
    m_is_reading = true;
    m_read_at = Core::monotonic_now();
    m_records->read({ .wait = Core::Duration(0), .answer = read_timeout }, [this](auto const& page) { on_read(page); });
}

void StoredBlames::read_unless_recent()
{
    if (Core::monotonic_now() - m_read_at >= min_read_interval)
        read();
}

void StoredBlames::on_read(tl::expected<BlameRecords::Page, FactLogFault> const& page)
{
    m_is_reading = false;
    if (!page.has_value()) {
        auto const wait = std::min(longest_retry_interval, retry_interval * (1 << std::min(m_failures++, max_doublings)));
        Core::log_event(Core::LogLevel::Warn, "kept_blames_unread", { { "failures", std::to_string(m_failures) } });
        m_read_timer = m_loop.after(wait, [this] { read(); });
        return;
    }
    m_failures = 0;
    for (auto const& bad : page->bad) {
        m_metrics.count("mountbarrow_bad_blame_records_total");
        Core::log_event(Core::LogLevel::Warn, "bad_blame_record", { { "key", bad.key }, { "reason", bad.error.detail } });
    }
    auto blames = page->blames;
    std::sort(blames.begin(), blames.end(), [](auto const& a, auto const& b) { return a.blamed_at_ms > b.blamed_at_ms; });
    std::vector<std::string> expired;
    auto const now = Core::wall_now();
    for (size_t i = 0; i < blames.size(); ++i) {
        auto const& blame = blames[i];
        // A time in the future comes from a wrong clock.
        auto const age = std::max(Core::Duration(0), now - Core::WallTime(blame.blamed_at_ms));
        if (i >= max_used || age >= lifetime) {
            expired.push_back(blame.digest);
            continue;
        }
        m_stored.insert(blame.digest);
        Schema::CrashSuspect suspect {};
        suspect.digest = blame.digest;
        suspect.times_blamed = blame.times_blamed;
        suspect.blamed_ms_ago = age.count();
        for (auto const& server : blame.servers)
            suspect.ends.push_back({ .alone = false, .server = server });
        m_callbacks.read(suspect);
    }
    if (!expired.empty())
        remove_from_store(expired);
}

void StoredBlames::store_blame(Schema::CrashSuspect const& suspect)
{
    if (!m_records || !suspect.blamed_ms_ago || m_stored.contains(suspect.digest))
        return;
    Schema::KeptBlame blame {};
    blame.digest = suspect.digest;
    blame.times_blamed = suspect.times_blamed;
    blame.blamed_at_ms = (Core::wall_now() - Core::Duration(*suspect.blamed_ms_ago)).count();
    for (auto const& end : suspect.ends)
        blame.servers.push_back(end.server);
    m_pending_writes[suspect.digest] = { std::move(blame), Core::monotonic_now() };
    if (!m_write_timer)
        m_write_timer = m_loop.every(write_check_interval, [this] { write_due(); });
    write_due();
}

void StoredBlames::write_due()
{
    if (m_pending_writes.empty()) {
        m_write_timer.reset();
        return;
    }
    if (m_is_writing)
        return;
    auto const now = Core::monotonic_now();
    auto const is_turn = [&](std::string const& digest, PendingWrite const& pending) {
        return should_write_record(digest, m_identity, m_callbacks.entries(), now - pending.known_since);
    };
    std::erase_if(m_pending_writes, [&](auto const& entry) { return now - entry.second.known_since >= others_write_timeout && !is_turn(entry.first, entry.second); });
    for (auto const& [digest, pending] : m_pending_writes) {
        if (!is_turn(digest, pending))
            continue;
        m_is_writing = true;
        m_records->write(pending.blame, [this, digest = digest](bool is_done) { on_written(digest, is_done); });
        return;
    }
}

void StoredBlames::on_written(std::string const& digest, bool is_done)
{
    m_is_writing = false;
    m_metrics.count("mountbarrow_blame_records_total", std::string("outcome=\"") + (is_done ? "written" : "failed") + "\"");
    Core::log_event(is_done ? Core::LogLevel::Info : Core::LogLevel::Warn, "blame_kept", { { "digest", digest }, { "outcome", is_done ? "written" : "failed" } });
    if (!is_done)
        return;
    m_stored.insert(digest);
    m_pending_writes.erase(digest);
}

void StoredBlames::on_log_came_back_from_copy()
{
    m_stored.clear();
    read();
}

void StoredBlames::remove_blame(std::string const& digest)
{
    on_removed_by_peer(digest);
    remove_from_store({ digest });
}

void StoredBlames::on_removed_by_peer(std::string const& digest)
{
    m_pending_writes.erase(digest);
    m_stored.erase(digest);
}

void StoredBlames::remove_from_store(std::vector<std::string> const& digests)
{
    if (!m_records)
        return;
    m_records->remove_blames(digests, [this, digests](bool is_done) {
        m_metrics.count("mountbarrow_blame_records_total", std::string("outcome=\"") + (is_done ? "dropped" : "failed") + "\"");
        // A record that could not be removed expires within a day. Each read tries again to remove those records that are expired or beyond
        // the newest `max_used`.
        Core::log_event(is_done ? Core::LogLevel::Info : Core::LogLevel::Warn, "blames_dropped", { { "count", std::to_string(digests.size()) }, { "outcome", is_done ? "written" : "failed" } });
    });
}

}
