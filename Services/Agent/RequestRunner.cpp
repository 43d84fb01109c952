// SPDX-License-Identifier: BSD-2-Clause
#include "RequestRunner.h"

#include <LibCore/Log.h>
#include <LibSchema/Json.h>
#include <algorithm>
#include <strings.h>

namespace Agent {

static constexpr Core::Duration housekeeping_interval { 250 };
static constexpr Core::Duration tombstone_lifetime { 60000 };
static constexpr Core::Duration refusal_retry_after { 200 };
// An entry that takes nothing in must not fill this process.
static constexpr size_t most_unacknowledged_bytes = 8 * 1024 * 1024;
static constexpr Core::Duration shortest_backend_wait { 1000 };

static std::string label(Schema::Reason reason)
{
    return "reason=\"" + Schema::enumerator_name(reason) + "\"";
}

/// Headers that belong to one connection (RFC 9110, section 7.6.1), or that this hop sets itself.
static bool is_for_one_hop(std::string const& name)
{
    static constexpr char const* names[] = { "connection", "content-length", "host", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };
    return std::any_of(std::begin(names), std::end(names), [&](char const* other) { return strcasecmp(name.c_str(), other) == 0; });
}

RequestRunner::RequestRunner(Core::EventLoop& loop, RequestRunnerSettings settings, Membership::IdempotencyKeyOwner const& home, Core::Metrics& metrics, Send send, View view, SlotFreed slot_freed)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_home(home)
    , m_metrics(metrics)
    , m_send(std::move(send))
    , m_view(std::move(view))
    , m_slot_freed(std::move(slot_freed))
    , m_once(m_settings.once_record_bytes, m_settings.key_lifetime)
    , m_timer(loop.every(housekeeping_interval, [this] { housekeep(); }))
{
}

RequestRunner::~RequestRunner() = default;

size_t RequestRunner::in_flight() const
{
    return static_cast<size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [](auto const& entry) { return !entry.second.has_ended; }));
}

void RequestRunner::refuse(std::string const& entry, std::string const& attempt, Schema::Reason reason)
{
    m_metrics.count("mountbarrow_agent_refused_total", label(reason));
    m_tombstones[attempt] = Core::monotonic_now();
    if (reason == Schema::Reason::InstanceBusy)
        m_has_refused_as_busy = true;
    Schema::Message message;
    message.refused.emplace();
    message.refused->attempt = attempt;
    message.refused->reason = reason;
    message.refused->retry_after_ms = refusal_retry_after.count();
    m_send(entry, message);
}

void RequestRunner::broken(std::string const& entry, std::string const& attempt, Schema::Reason reason)
{
    m_metrics.count("mountbarrow_agent_broken_total", label(reason));
    m_tombstones[attempt] = Core::monotonic_now();
    Schema::Message message;
    message.broken.emplace();
    message.broken->attempt = attempt;
    message.broken->reason = reason;
    m_send(entry, message);
}

void RequestRunner::on_dispatch(std::string const& entry, Schema::Dispatch const& dispatch)
{
    if (m_tombstones.contains(dispatch.attempt) || m_attempts.contains(dispatch.attempt)) {
        m_metrics.count("mountbarrow_agent_late_dispatches_total");
        return;
    }
    auto view = m_view();
    view.in_flight = in_flight();
    auto const result = Routing::admit(dispatch, view, m_home, m_once);
    if (auto const* refused = std::get_if<Routing::RefuseNotRun>(&result))
        refuse(entry, dispatch.attempt, refused->reason);
    else if (auto const* unknown = std::get_if<Routing::RefuseMayHaveRun>(&result))
        broken(entry, dispatch.attempt, unknown->reason);
    else if (auto const* earlier = std::get_if<Routing::Replay>(&result))
        replay(entry, dispatch, earlier->answer);
    else
        run(entry, dispatch);
}

void RequestRunner::replay(std::string const& entry, Schema::Dispatch const& dispatch, Routing::StoredAnswer const& answer)
{
    m_metrics.count("mountbarrow_agent_replayed_total");
    auto& attempt = m_attempts.emplace(dispatch.attempt, Attempt { entry, dispatch, Routing::AnswerBuffer(dispatch.attempt), nullptr, {}, true, true, true, {} }).first->second;
    send_part(attempt, attempt.buffer.append_head(answer.status, answer.headers));
    send_part(attempt, attempt.buffer.append(answer.body, true));
}

void RequestRunner::run(std::string const& entry, Schema::Dispatch const& dispatch)
{
    m_metrics.count("mountbarrow_agent_admitted_total");
    auto const id = dispatch.attempt;
    auto& attempt = m_attempts.emplace(id, Attempt { entry, dispatch, Routing::AnswerBuffer(id), nullptr, {}, true, false, false, {} }).first->second;
    Schema::Message accepted;
    accepted.accepted.emplace();
    accepted.accepted->attempt = id;
    m_send(entry, accepted);

    Transport::HttpCallRequest call;
    call.address = m_settings.backend_address;
    call.port = m_settings.backend_port;
    call.method = dispatch.method;
    call.path = dispatch.path;
    call.body = dispatch.body;
    // Silence of the backend server up to the caller's own deadline is no failure.
    call.timeout = std::max(Core::Duration(dispatch.deadline_ms), shortest_backend_wait);
    for (auto const& header : dispatch.headers) {
        if (!is_for_one_hop(header.name))
            call.headers.emplace_back(header.name, header.value);
    }
    call.headers.emplace_back("Priority", "u=" + std::to_string(dispatch.priority));
    // The answer is passed on as it comes.
    call.max_body_bytes.reset();
    attempt.call = Transport::HttpCall::start(m_loop, call,
        { .head = [this, id](int status, Transport::HttpHeaders const& headers) { on_head(id, status, headers); },
            .data = [this, id](std::string_view data) { on_data(id, data); },
            .done = [this, id] { on_done(id); },
            .failed = [this, id](Transport::HttpFailure failure) { on_failed(id, failure); } });
}

void RequestRunner::send_part(Attempt& attempt, Schema::Part part)
{
    if (attempt.orphaned_at)
        return;
    Schema::Message message;
    message.part = std::move(part);
    m_send(attempt.entry, message);
}

void RequestRunner::on_head(std::string const& id, int status, Transport::HttpHeaders const& headers)
{
    auto& attempt = m_attempts.at(id);
    attempt.has_head = true;
    std::vector<Schema::Header> forwarded;
    for (auto const& [name, value] : headers) {
        if (is_for_one_hop(name))
            continue;
        Schema::Header header;
        header.name = name;
        header.value = value;
        forwarded.push_back(std::move(header));
    }
    attempt.kept.status = status;
    attempt.kept.headers = forwarded;
    send_part(attempt, attempt.buffer.append_head(status, std::move(forwarded)));
}

void RequestRunner::on_data(std::string const& id, std::string_view data)
{
    auto& attempt = m_attempts.at(id);
    if (attempt.dispatch.key && attempt.is_kept_whole) {
        attempt.kept.body += data;
        attempt.is_kept_whole = attempt.kept.body.size() <= Routing::IdempotencyTable::max_stored_body_bytes;
    }
    send_part(attempt, attempt.buffer.append(std::string(data), false));
    if (attempt.buffer.unacknowledged_bytes() <= most_unacknowledged_bytes)
        return;
    bool const must_finish = attempt.dispatch.repeatability == Schema::Repeatability::Once;
    broken(attempt.entry, id, Schema::Reason::AnswerIncomplete);
    if (must_finish) {
        // Its run goes on: only the outcome is still of use.
        attempt.orphaned_at = Core::monotonic_now();
        attempt.buffer = Routing::AnswerBuffer(id);
        return;
    }
    remove(id);
}

void RequestRunner::on_done(std::string const& id)
{
    auto& attempt = m_attempts.at(id);
    attempt.has_ended = true;
    if (attempt.dispatch.key) {
        if (attempt.is_kept_whole)
            m_once.record_answer(*attempt.dispatch.key, std::move(attempt.kept));
        else
            m_once.unknown(*attempt.dispatch.key);
    }
    send_part(attempt, attempt.buffer.append({}, true));
    note_slot_freed();
}

void RequestRunner::note_slot_freed()
{
    if (std::exchange(m_has_refused_as_busy, false))
        m_slot_freed();
}

void RequestRunner::on_failed(std::string const& id, Transport::HttpFailure failure)
{
    auto& attempt = m_attempts.at(id);
    bool const was_not_run = failure == Transport::HttpFailure::NotConnected;
    if (attempt.dispatch.key) {
        if (was_not_run)
            m_once.remove(*attempt.dispatch.key);
        else
            m_once.unknown(*attempt.dispatch.key);
    }
    if (!attempt.orphaned_at) {
        if (was_not_run)
            refuse(attempt.entry, id, Schema::Reason::ConnectFailed);
        else
            broken(attempt.entry, id, failure == Transport::HttpFailure::TimedOut ? Schema::Reason::BackendTimeout : Schema::Reason::BackendBrokeOff);
        remove(id);
        return;
    }
    // The entry may still ask what became of it.
    attempt.has_ended = true;
    m_tombstones[id] = Core::monotonic_now();
    remove(id);
}

void RequestRunner::remove(std::string const& id)
{
    m_tombstones[id] = Core::monotonic_now();
    // The call must not be destroyed inside its own callback.
    auto node = m_attempts.extract(id);
    note_slot_freed();
    if (!node.empty())
        m_loop.soon([keep = std::make_shared<Attempt>(std::move(node.mapped()))] {});
}

void RequestRunner::on_acknowledge(std::string const& id, int64_t next_sequence)
{
    auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    found->second.buffer.acknowledge(next_sequence);
    if (found->second.has_ended && found->second.buffer.is_acknowledged())
        remove(id);
}

void RequestRunner::on_resume(std::string const& entry, Schema::Resume const& resume)
{
    auto found = m_attempts.find(resume.attempt);
    if (found == m_attempts.end()) {
        // What was never seen was not run, and the mark keeps it so; what ended here cannot be told any more.
        if (m_tombstones.contains(resume.attempt))
            broken(entry, resume.attempt, Schema::Reason::AnswerIncomplete);
        else
            refuse(entry, resume.attempt, Schema::Reason::LinkLost);
        return;
    }
    auto& attempt = found->second;
    if (!attempt.buffer.can_resume_from(resume.next_sequence)) {
        broken(entry, resume.attempt, Schema::Reason::AnswerIncomplete);
        return;
    }
    m_metrics.count("mountbarrow_agent_resumed_total");
    attempt.entry = entry;
    attempt.orphaned_at.reset();
    attempt.buffer.acknowledge(resume.next_sequence);
    for (auto& part : attempt.buffer.parts_from(resume.next_sequence))
        send_part(attempt, std::move(part));
}

void RequestRunner::on_cancel(std::string const& id)
{
    auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        m_tombstones[id] = Core::monotonic_now();
        return;
    }
    if (found->second.dispatch.repeatability == Schema::Repeatability::Repeatable || found->second.has_ended) {
        m_metrics.count("mountbarrow_agent_cancelled_total");
        remove(id);
        return;
    }
    // Cutting it off would leave its outcome open: it runs to its end, for the record.
    found->second.orphaned_at = Core::monotonic_now();
}

void RequestRunner::on_entry_down(std::string const& entry)
{
    for (auto& [id, attempt] : m_attempts) {
        if (attempt.entry == entry && !attempt.orphaned_at)
            attempt.orphaned_at = Core::monotonic_now();
    }
}

size_t RequestRunner::break_off_unfinished()
{
    std::vector<std::string> unfinished;
    for (auto const& [id, attempt] : m_attempts) {
        if (!attempt.has_ended)
            unfinished.push_back(id);
    }
    for (auto const& id : unfinished) {
        auto const& attempt = m_attempts.at(id);
        if (!attempt.orphaned_at)
            broken(attempt.entry, id, Schema::Reason::Stopping);
        remove(id);
    }
    return unfinished.size();
}

void RequestRunner::housekeep()
{
    auto const now = Core::monotonic_now();
    m_once.expire(now);
    std::erase_if(m_tombstones, [&](auto const& entry) { return entry.second + tombstone_lifetime <= now; });
    std::vector<std::string> abandoned;
    for (auto const& [id, attempt] : m_attempts) {
        bool const may_end = attempt.has_ended || attempt.dispatch.repeatability == Schema::Repeatability::Repeatable;
        if (attempt.orphaned_at && may_end && *attempt.orphaned_at + m_settings.resume_wait <= now)
            abandoned.push_back(id);
    }
    for (auto const& id : abandoned) {
        m_metrics.count("mountbarrow_agent_abandoned_total");
        remove(id);
    }
}

}
