// SPDX-License-Identifier: BSD-2-Clause
#include "CrashDetector.h"

#include <LibCore/Log.h>
#include <LibRouting/PromptParts.h>
#include <LibTransport/SocketAddress.h>
#include <utility>

namespace DirectEntry {

// The instance of a terminated server refuses the connection at once, and the round trip to the farthest one takes some milliseconds.
static constexpr Core::Duration check_timeout { 100 };
// All answers of a terminated server break off within this time, and a server takes longer to restart.
static constexpr Core::Duration termination_remembered_for { 500 };

CrashDetector::CrashDetector(Core::EventLoop& loop, std::string const& identity, std::unique_ptr<Platform::BlameRecords> records, Core::Metrics& metrics, Callbacks callbacks)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_blame_store(loop, std::move(records), identity, metrics,
          { .read = [this](Schema::CrashSuspect const& suspect) { report_blamed(m_suspects.merge({ suspect }, Core::monotonic_now()), "store"); },
              .entries = m_callbacks.entries })
{
}

// Detection of terminated servers.

void CrashDetector::check_terminated(std::string const& server, std::string const& address, std::function<void(bool)> callback)
{
    auto const terminated = m_terminated_at.find(server);
    if (terminated != m_terminated_at.end() && Core::monotonic_now() - terminated->second < termination_remembered_for) {
        callback(true);
        return;
    }
    auto& check = m_termination_checks[server];
    check.callbacks.push_back(std::move(callback));
    if (check.call)
        return;
    Transport::BackendCallRequest call;
    std::tie(call.address, call.port) = Transport::split_address(address);
    call.connect_timeout = check_timeout;
    check.call = Transport::BackendCall::start(m_loop, std::move(call),
        { .connected = [this, server] { finish_check(server, false); },
            .head = {},
            .data = {},
            .done = {},
            .failed = [this, server](Transport::CallFailure failure) { finish_check(server, failure == Transport::CallFailure::Refused); } });
}

void CrashDetector::finish_check(std::string const& server, bool has_terminated)
{
    auto check = m_termination_checks.extract(server);
    if (!check)
        return;
    m_metrics.count("mountbarrow_broken_answers_total", has_terminated ? "server=\"ended\"" : "server=\"there\"");
    if (has_terminated) {
        auto const now = Core::monotonic_now();
        std::erase_if(m_terminated_at, [&](auto const& entry) { return now - entry.second >= termination_remembered_for; });
        m_terminated_at[server] = now;
        Core::log_event(Core::LogLevel::Warn, "server_ended", { { "server", server }, { "answers", std::to_string(check.mapped().callbacks.size()) } });
    }
    for (auto const& callback : check.mapped().callbacks)
        callback(has_terminated);
}

// Suspects and blamed requests.

Schema::CrashNews& CrashDetector::pending_news()
{
    if (!m_pending_news) {
        m_pending_news.emplace();
        m_loop.soon([this] { send_pending_news(); });
    }
    return *m_pending_news;
}

void CrashDetector::send_pending_news()
{
    Schema::Message message;
    message.crash_news = std::exchange(m_pending_news, {});
    for (auto const& entry : m_callbacks.entries())
        m_callbacks.send(entry, message);
}

void CrashDetector::on_terminated_while_running(std::string const& incarnation, std::vector<Routing::CrashSuspects::Run> const& runs)
{
    // An entry without links to others learns only from the store that a request was blamed.
    m_blame_store.read_unless_recent();
    auto const now = Core::monotonic_now();
    auto const blamed = m_suspects.on_server_terminated(incarnation, runs, now);
    for (auto const& run : runs) {
        pending_news().suspects.push_back(announcement(run, incarnation, now));
        auto const* suspect = m_suspects.find(run.digest);
        Core::log_event(Core::LogLevel::Warn, "request_suspected", { { "digest", run.digest }, { "server", incarnation }, { "alone", run.was_alone ? "yes" : "no" }, { "ends", std::to_string(suspect ? suspect->ends.size() : 0) } });
    }
    report_blamed(blamed, "own");
}

/// The record of a suspect of which one more server has terminated. Of a part that is not blamed only this termination is announced: other
/// entries may have cleared the part after the earlier ones.
Schema::CrashSuspect CrashDetector::announcement(Routing::CrashSuspects::Run const& run, std::string const& incarnation, Core::Time now) const
{
    auto announced = m_suspects.to_announce(run.digest, now);
    if (Routing::is_prompt_part_key(run.digest) && !announced.blamed_ms_ago)
        announced.ends = { { .alone = run.was_alone, .server = incarnation } };
    return announced;
}

void CrashDetector::report_blamed(std::vector<std::string> const& digests, char const* source)
{
    for (auto const& digest : digests) {
        std::string servers;
        if (auto const* suspect = m_suspects.find(digest)) {
            for (auto const& end : suspect->ends)
                servers += (servers.empty() ? "" : ",") + end.server + (end.alone ? " alone" : "");
        }
        m_metrics.count("mountbarrow_requests_blamed_total", "from=\"" + std::string(source) + "\"");
        Core::log_event(Core::LogLevel::Error, "request_blamed", { { "digest", digest }, { "from", source }, { "servers", servers } });
        m_blame_store.store_blame(m_suspects.to_announce(digest, Core::monotonic_now()));
        m_callbacks.blamed(digest);
    }
}

void CrashDetector::on_run_completed(std::vector<std::string> const& keys)
{
    bool has_cleared = false;
    for (auto const& key : keys) {
        if (!m_suspects.find(key))
            continue;
        clear(key, "ran_to_end");
        has_cleared = true;
    }
    if (has_cleared)
        blame_last_of_group("own");
}

bool CrashDetector::clear_by_operator(std::string const& digest)
{
    if (!m_suspects.find(digest))
        return false;
    clear(digest, "operator");
    blame_last_of_group("own");
    return true;
}

void CrashDetector::blame_last_of_group(char const* source)
{
    auto const now = Core::monotonic_now();
    auto const blamed = m_suspects.blame_last_of_group(now);
    for (auto const& key : blamed)
        pending_news().suspects.push_back(m_suspects.to_announce(key, now));
    report_blamed(blamed, source);
}

void CrashDetector::clear(std::string const& digest, char const* reason)
{
    auto const was_blamed = m_suspects.find(digest)->times_blamed > 0;
    m_suspects.clear(digest);
    if (was_blamed)
        m_blame_store.remove_blame(digest);
    pending_news().cleared.push_back(digest);
    m_metrics.count("mountbarrow_suspects_cleared_total", "reason=\"" + std::string(reason) + "\"");
    Core::log_event(Core::LogLevel::Info, "suspect_cleared", { { "digest", digest }, { "reason", reason } });
}

// Attempts of suspects.

Routing::CrashRestriction CrashDetector::on_sent(std::string const& digest, std::string const& server)
{
    auto const sent = m_suspects.on_sent(digest, server, Core::monotonic_now());
    if (sent != Routing::CrashRestriction::Free)
        pending_news().runs.push_back({ .alone = sent == Routing::CrashRestriction::Alone, .digest = digest, .is_over = false, .server = server });
    return sent;
}

void CrashDetector::on_attempt_over(std::string const& digest, Routing::CrashRestriction sent)
{
    if (sent == Routing::CrashRestriction::Free)
        return;
    m_suspects.on_attempt_over(digest);
    pending_news().runs.push_back({ .alone = sent == Routing::CrashRestriction::Alone, .digest = digest, .is_over = true, .server = {} });
}

// Other entries.

void CrashDetector::on_entry_linked(std::string const& entry) const
{
    Schema::Message message;
    message.crash_news.emplace();
    message.crash_news->suspects = m_suspects.suspects_to_announce(Core::monotonic_now());
    message.crash_news->runs = m_suspects.local_runs();
    if (!message.crash_news->suspects.empty())
        m_callbacks.send(entry, message);
}

void CrashDetector::on_crash_news(std::string const& entry, Schema::CrashNews const& received)
{
    auto const now = Core::monotonic_now();
    report_blamed(m_suspects.merge(received.suspects, now), "entry");
    for (auto const& run : received.runs)
        m_suspects.on_peer_run(entry, run, now);
    for (auto const& digest : received.cleared) {
        m_suspects.clear(digest);
        m_blame_store.on_removed_by_peer(digest);
    }
    if (!received.cleared.empty())
        blame_last_of_group("entry");
}

void CrashDetector::on_log_came_back_from_copy()
{
    m_blame_store.on_log_came_back_from_copy();
    for (auto const& suspect : m_suspects.all(Core::monotonic_now()))
        m_blame_store.store_blame(suspect);
}

void CrashDetector::report_metrics() const
{
    m_metrics.set("mountbarrow_crash_suspects", static_cast<double>(m_suspects.count()));
    m_metrics.set("mountbarrow_blamed_requests", static_cast<double>(m_suspects.blamed_count()));
}

}
