// SPDX-License-Identifier: BSD-2-Clause
#include "CrashWatch.h"

#include <LibCore/Log.h>
#include <LibTransport/SocketAddress.h>
#include <utility>

namespace DirectEntry {

// The instance of a server that ended refuses at once; the farthest is some milliseconds away.
static constexpr Core::Duration question_patience { 100 };
// Answers of one end break off within this, and a server needs longer to be back.
static constexpr Core::Duration end_is_known_for { 500 };

CrashWatch::CrashWatch(Core::EventLoop& loop, std::string const& identity, std::unique_ptr<Platform::BlameRecords> records, Core::Metrics& metrics, Callbacks callbacks)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_kept(loop, std::move(records), identity, metrics,
          { .read = [this](Schema::CrashSuspect const& suspect) { note_blamed(m_suspects.merge(suspect, Core::monotonic_now()), "store"); },
              .entries = m_callbacks.entries })
{
}

// Whether a server has ended.

void CrashWatch::ask_whether_ended(std::string const& server, std::string const& address, std::function<void(bool)> callback)
{
    auto const ended = m_ended.find(server);
    if (ended != m_ended.end() && Core::monotonic_now() - ended->second < end_is_known_for) {
        callback(true);
        return;
    }
    auto& question = m_questions[server];
    question.callbacks.push_back(std::move(callback));
    if (question.call)
        return;
    Transport::BackendCallRequest call;
    std::tie(call.address, call.port) = Transport::split_address(address);
    call.connect_timeout = question_patience;
    question.call = Transport::BackendCall::start(m_loop, std::move(call),
        { .connected = [this, server] { answer(server, false); },
            .head = {},
            .data = {},
            .done = {},
            .failed = [this, server](Transport::CallFailure failure) { answer(server, failure == Transport::CallFailure::Refused); } });
}

void CrashWatch::answer(std::string const& server, bool has_ended)
{
    auto question = m_questions.extract(server);
    if (!question)
        return;
    m_metrics.count("mountbarrow_broken_answers_total", has_ended ? "server=\"ended\"" : "server=\"there\"");
    if (has_ended) {
        auto const now = Core::monotonic_now();
        std::erase_if(m_ended, [&](auto const& entry) { return now - entry.second >= end_is_known_for; });
        m_ended[server] = now;
        Core::log_event(Core::LogLevel::Warn, "server_ended", { { "server", server }, { "answers", std::to_string(question.mapped().callbacks.size()) } });
    }
    for (auto const& callback : question.mapped().callbacks)
        callback(has_ended);
}

// What speaks against a request.

Schema::CrashNews& CrashWatch::news()
{
    if (!m_news) {
        m_news.emplace();
        m_loop.soon([this] { tell_news(); });
    }
    return *m_news;
}

void CrashWatch::tell_news()
{
    Schema::Message message;
    message.crash_news = std::exchange(m_news, {});
    for (auto const& entry : m_callbacks.entries())
        m_callbacks.send(entry, message);
}

void CrashWatch::on_ended_under(std::string const& incarnation, Routing::CrashSuspects::Run const& run)
{
    // An entry that no other reaches hears of a blame here alone.
    m_kept.read_unless_recent();
    auto const now = Core::monotonic_now();
    auto const blamed = m_suspects.on_server_ended(incarnation, { run }, now);
    news().suspects.push_back(m_suspects.to_tell(run.digest, now));
    auto const* suspect = m_suspects.find(run.digest);
    Core::log_event(Core::LogLevel::Warn, "request_suspected", { { "digest", run.digest }, { "server", incarnation }, { "alone", run.was_alone ? "yes" : "no" }, { "ends", std::to_string(suspect ? suspect->ends.size() : 0) } });
    note_blamed(blamed, "own");
}

void CrashWatch::note_blamed(std::vector<std::string> const& digests, char const* from)
{
    for (auto const& digest : digests) {
        std::string servers;
        if (auto const* suspect = m_suspects.find(digest)) {
            for (auto const& end : suspect->ends)
                servers += (servers.empty() ? "" : ",") + end.server + (end.alone ? " alone" : "");
        }
        m_metrics.count("mountbarrow_requests_blamed_total", "from=\"" + std::string(from) + "\"");
        Core::log_event(Core::LogLevel::Error, "request_blamed", { { "digest", digest }, { "from", from }, { "servers", servers } });
        m_kept.store_blame(m_suspects.to_tell(digest, Core::monotonic_now()));
        m_callbacks.blamed(digest);
    }
}

void CrashWatch::on_ran_to_end(std::string const& digest)
{
    if (m_suspects.find(digest))
        clear(digest, "ran_to_end");
}

bool CrashWatch::pardon(std::string const& digest)
{
    if (!m_suspects.find(digest))
        return false;
    clear(digest, "operator");
    return true;
}

void CrashWatch::clear(std::string const& digest, char const* reason)
{
    auto const was_blamed = m_suspects.find(digest)->times_blamed > 0;
    m_suspects.clear(digest);
    if (was_blamed)
        m_kept.remove_blame(digest);
    news().cleared.push_back(digest);
    m_metrics.count("mountbarrow_suspects_cleared_total", "reason=\"" + std::string(reason) + "\"");
    Core::log_event(Core::LogLevel::Info, "suspect_cleared", { { "digest", digest }, { "reason", reason } });
}

// Runs of suspects.

Routing::CrashSend CrashWatch::on_sent(std::string const& digest, std::string const& server)
{
    auto const sent = m_suspects.on_sent(digest, server, Core::monotonic_now());
    if (sent != Routing::CrashSend::Free)
        news().runs.push_back({ .alone = sent == Routing::CrashSend::Alone, .digest = digest, .is_over = false, .server = server });
    return sent;
}

void CrashWatch::on_send_over(std::string const& digest, Routing::CrashSend sent)
{
    if (sent == Routing::CrashSend::Free)
        return;
    m_suspects.on_send_over(digest);
    news().runs.push_back({ .alone = sent == Routing::CrashSend::Alone, .digest = digest, .is_over = true, .server = {} });
}

// Other entries.

void CrashWatch::on_entry_linked(std::string const& entry) const
{
    Schema::Message message;
    message.crash_news.emplace();
    message.crash_news->suspects = m_suspects.worth_telling(Core::monotonic_now());
    message.crash_news->runs = m_suspects.own_runs();
    if (!message.crash_news->suspects.empty())
        m_callbacks.send(entry, message);
}

void CrashWatch::on_news(std::string const& entry, Schema::CrashNews const& told)
{
    auto const now = Core::monotonic_now();
    for (auto const& suspect : told.suspects)
        note_blamed(m_suspects.merge(suspect, now), "entry");
    for (auto const& run : told.runs)
        m_suspects.on_peer_run(entry, run, now);
    for (auto const& digest : told.cleared) {
        m_suspects.clear(digest);
        m_kept.on_removed_by_peer(digest);
    }
}

void CrashWatch::report_metrics() const
{
    m_metrics.set("mountbarrow_crash_suspects", static_cast<double>(m_suspects.count()));
    m_metrics.set("mountbarrow_blamed_requests", static_cast<double>(m_suspects.blamed_count()));
}

}
