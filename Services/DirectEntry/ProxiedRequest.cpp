// SPDX-License-Identifier: BSD-2-Clause
#include "ProxiedRequest.h"

#include <LibCore/Log.h>
#include <LibSchema/Json.h>
#include <LibTransport/SocketAddress.h>
#include <algorithm>
#include <tuple>
#include <utility>

namespace DirectEntry {

using Routing::longest_retry_after;
using Routing::NextStep;
using Routing::SendEnd;
using Routing::ServerOutcome;

static constexpr int status_unauthorized = 401;
static constexpr int status_not_found = 404;
static constexpr int status_request_timeout = 408;
static constexpr int status_misdirected = 421;
static constexpr int status_too_many = 429;
static constexpr int status_server_error = 500;
static constexpr int status_bad_gateway = 502;
static constexpr int status_unavailable = 503;
static constexpr int status_gateway_timeout = 504;

static constexpr Core::Duration default_wait { 30000 };
// The way of a first event from here to the caller, and what a prediction misses in the middle.
static constexpr Core::Duration answer_margin { 20 };
static constexpr Core::Duration connect_timeout { 300 };
static constexpr Core::Duration least_silence { 900 };
static constexpr double silence_per_objective = 2.5;
// Where a backend server answers others, a request waits behind them: to send it elsewhere would only add to the load.
static constexpr int64_t patience_with_answering = 2;
static constexpr Core::Duration retry_when_unready { 300 };
static constexpr size_t most_unread_bytes = size_t { 1 } << 20;
static constexpr size_t most_buffered_answer = size_t { 8 } << 20;

static std::string milliseconds(Core::Duration duration)
{
    return std::to_string(duration.count());
}

ProxiedRequest::ProxiedRequest(RequestContext& context, std::shared_ptr<Transport::IngressRequest> caller, uint64_t number)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_number(number)
    , m_started(context.arrival())
    , m_suspected(context.crashes, [this] { return content(); })
    , m_wait(context.servers, context.waiting, context.line)
{
}

ProxiedRequest::~ProxiedRequest() = default;

void ProxiedRequest::begin()
{
    m_head = m_context.heads.read_caller(m_caller->head());
    m_time_allowed = default_wait;
    m_caller->on_gone([weak = weak_from_this()] {
        if (auto self = weak.lock(); self && !self->is_over()) {
            self->end_call();
            self->finish(Refusal::CallerGone, 0);
        }
    });
    if (!admit())
        return;
    if (refuse_if_blamed())
        return;
    set_terms();
    m_context.retries.on_request(m_service, m_started);
    m_context.asked(m_service);
    if (!try_send())
        wait_for_place();
}

void ProxiedRequest::set_terms()
{
    m_first_asked = m_started;
    if (m_head.deadline)
        m_first_asked = m_context.returning.first_asked(
            m_route.name, *m_head.deadline, [this] { return m_suspected.digest(); }, m_started);
    m_terms.in_time_until = m_first_asked + Core::Duration(m_route.objective_ms) - answer_margin;
    m_terms.deadline = deadline();
}

bool ProxiedRequest::admit()
{
    auto const& routes = m_context.routes;
    if (!routes) {
        refuse(status_unavailable, Refusal::NoConfiguration, longest_retry_after);
        return false;
    }
    m_configuration_version = routes->version();
    if (!m_context.is_awake()) {
        refuse(status_unavailable, Refusal::StaleConfiguration, retry_when_unready);
        return false;
    }
    auto const granted = routes->admit(m_head.host, m_head.path, m_head.key);
    if (!granted.has_value()) {
        refuse_denied(granted.error());
        return false;
    }
    m_route = granted->route;
    m_priority = granted->priority();
    if (granted->customer)
        m_customer = granted->customer->name;
    m_time_allowed = std::min(Core::Duration(m_route.timeout_ms), m_head.deadline.value_or(default_wait));
    std::uniform_real_distribution<double> draw(0, 1);
    m_service = Routing::RouteTable::pick_service(m_route, draw(m_context.random));
    m_last_event = m_head.last_event;
    return true;
}

void ProxiedRequest::refuse_denied(Routing::RouteDenial denial)
{
    if (denial != Routing::RouteDenial::BlockedRoute && m_context.is_stale()) {
        // A newer configuration may allow it.
        refuse(status_unavailable, Refusal::StaleConfiguration, retry_when_unready);
        return;
    }
    switch (denial) {
    case Routing::RouteDenial::NoRoute:
        refuse(status_not_found, Refusal::NoRoute, {});
        return;
    case Routing::RouteDenial::UnknownKey:
        refuse(status_unauthorized, Refusal::UnknownKey, {});
        return;
    case Routing::RouteDenial::UnreadableCustomer:
    case Routing::RouteDenial::BlockedRoute:
        refuse(status_unavailable, Refusal::UnreadableConfiguration, longest_retry_after);
        return;
    }
}

// Waiting.

Routing::WaitingRequest ProxiedRequest::waiting() const
{
    Routing::WaitingRequest request;
    request.number = m_number;
    request.service = m_service;
    request.customer = m_customer.value_or("");
    request.priority = m_priority;
    request.prompt_tokens = m_head.prompt_tokens;
    request.answer_tokens = m_head.answer_tokens_hint > 0 ? std::min(m_head.answer_tokens_hint, m_head.answer_tokens) : m_head.answer_tokens;
    request.terms = m_terms;
    // A caller that hears nothing because this process stood still has lost none of its patience with the servers.
    if (m_has_delivered)
        request.delivered_at = Core::monotonic_now() - (m_context.running_time() - m_delivered_running);
    return request;
}

void ProxiedRequest::wait_for_place()
{
    if (is_over())
        return;
    auto const now = Core::monotonic_now();
    m_phase = Phase::Waiting;
    auto const request = waiting();
    m_wait.begin(request, now);
    if (m_silent.empty() && m_wait.is_hopeless(request, m_no_server, now)) {
        refuse_waiting(now);
        return;
    }
    if (!m_wait.join(request, now)) {
        m_context.metrics.count("mountbarrow_queue_refusals_total");
        refuse_waiting(now);
    }
}

void ProxiedRequest::check_waiting(Core::Time now)
{
    auto const request = waiting();
    if (m_wait.becomes_late(request, now)) {
        m_wait.leave();
        m_terms.in_time_until = now - Core::Duration(1);
        wait_for_place();
        return;
    }
    // While an answer may still come, waiting for a better one is never in vain.
    if (m_silent.empty() && m_wait.is_hopeless(request, m_no_server, now))
        refuse_waiting(now);
}

Routing::ServerNeeds ProxiedRequest::needs()
{
    Routing::ServerNeeds needs;
    needs.service = m_service;
    needs.required_version = m_context.required_version(m_service);
    needs.newest_version = m_context.newest_version(m_service);
    needs.prompt_tokens = m_head.prompt_tokens;
    needs.excluded = tried_servers();
    needs.longest_pause = Core::Duration(m_route.objective_gap_ms);
    m_suspected.add_to(needs);
    return needs;
}

/// One that has started again since it was tried may be tried again, as far as the request may be sent again at all.
std::set<std::string> ProxiedRequest::tried_servers() const
{
    std::set<std::string> tried;
    for (auto const& [id, started_at_ms] : m_tried) {
        auto const latest = m_context.servers.started_at_ms(id);
        bool const has_started_again = started_at_ms && latest && *started_at_ms < *latest;
        if (!has_started_again)
            tried.insert(id);
    }
    return tried;
}

bool ProxiedRequest::try_send()
{
    if (is_over() || refuse_if_blamed())
        return true;
    auto const now = Core::monotonic_now();
    // Its time may have passed while the process stood still; then it is answered at the next look at the time.
    bool const has_budget = m_silent.empty() || m_context.retries.has_left(m_service, now);
    if (!m_context.is_awake() || now >= deadline() || !m_suspected.may_send() || !has_budget) {
        m_no_server = Routing::NoServer::AllFull;
        return false;
    }
    if (m_has_delivered || now <= m_terms.in_time_until)
        return try_send_in_time(now);
    return try_send_late(now);
}

bool ProxiedRequest::try_send_in_time(Core::Time now)
{
    auto needs = this->needs();
    if (!m_has_delivered)
        needs.begins_within = m_terms.in_time_until - now;
    auto const choice = m_context.servers.choose(needs, now);
    if (choice.has_value()) {
        send_to(*choice, now);
        return true;
    }
    m_no_server = choice.error();
    if (m_no_server != Routing::NoServer::NoneInTime)
        return false;
    m_terms.in_time_until = now - Core::Duration(1);
    return try_send_late(now);
}

bool ProxiedRequest::try_send_late(Core::Time now)
{
    auto needs = this->needs();
    needs.takes_leftover = m_context.waiting.orders_by_timeliness;
    auto const choice = m_context.servers.choose(needs, now);
    if (!choice.has_value()) {
        m_no_server = choice.error();
        return false;
    }
    send_to(*choice, now);
    return true;
}

void ProxiedRequest::send_to(Routing::ServerChoice const& choice, Core::Time now)
{
    auto const* server = m_context.servers.find(choice.id);
    m_wait.on_sent(now);
    // Beside a silent send it is paid for only now: without a place or a budget the silent one goes on.
    if (!m_silent.empty())
        m_context.retries.try_spend(m_service, now);
    if (m_sends + m_misses == 0)
        m_context.metrics.observe_ms("mountbarrow_wait_before_send_ms", static_cast<double>((now - m_started).count()));
    m_phase = Phase::Sent;
    auto const version = m_context.servers.version_of(choice.id, now);
    m_send = std::make_shared<ServerSend>(ServerSend::Target { choice.id, server->address, version, m_context.servers.started_at_ms(choice.id) }, moment(now));

    Platform::BackendRequestFields terms;
    terms.server_id = choice.id;
    terms.customer = m_customer;
    terms.remaining = deadline() - now;
    // An engine that turned to another version meanwhile refuses it; before the bound any whole version will do.
    if (m_context.required_version(m_service))
        terms.expected_version = version;
    terms.last_event = m_last_event;
    m_context.servers.on_sent(m_head.request_id, choice, m_head.prompt_tokens, now);
    m_suspected.on_sent(choice.id);
    Core::log_event(Core::LogLevel::Info, "request_sent",
        { { "request", m_head.request_id }, { "route", m_route.name }, { "server", choice.id }, { "address", server->address }, { "domain", server->failure_domain }, { "predicted_ms", milliseconds(choice.predicted) }, { "in_time_for_ms", milliseconds(m_terms.in_time_until - now) }, { "prompt_tokens", std::to_string(m_head.prompt_tokens) }, { "answer_tokens", std::to_string(m_head.answer_tokens) }, { "attempt", std::to_string(m_sends + m_misses + 1) }, { "after_ms", milliseconds(now - m_started) }, { "remaining_ms", milliseconds(terms.remaining) }, { "configuration", std::to_string(m_configuration_version) }, { "expected_version", terms.expected_version ? std::to_string(*terms.expected_version) : "any" }, { "resume_after", m_last_event ? std::to_string(*m_last_event) : "" } });
    start_call(terms);
}

void ProxiedRequest::start_call(Platform::BackendRequestFields const& terms)
{
    Transport::BackendCallRequest call;
    std::tie(call.address, call.port) = Transport::split_address(m_send->target().address);
    call.bytes = m_context.heads.write_request(m_caller->head(), m_caller->body(), terms);
    call.connect_timeout = std::min(connect_timeout, terms.remaining);
    if (m_caller->head().method == "HEAD")
        call.body_expectation = Transport::BodyExpectation::None;
    // The call ends with its send, so it never calls back for one that is gone.
    auto* const send = m_send.get();
    m_send->call = Transport::BackendCall::start(m_context.loop, std::move(call),
        { .connected = [this, send] {
             m_sends += 1;
             send->on_connected(moment(Core::monotonic_now())); },
            .head = [this, send](Transport::MessageHead const& head) { send->on_head(m_context.heads.read_backend(head), moment(Core::monotonic_now())); },
            .data = [this, send](std::string_view data) { auto keep = shared_from_this(); on_data(*send, data); },
            .done = [this, send] { auto keep = shared_from_this(); on_done(*send); },
            .failed = [this, send](Transport::CallFailure failure) { auto keep = shared_from_this(); on_failed(*send, failure); } });
}

ServerSend::Moment ProxiedRequest::moment(Core::Time now) const
{
    return { now, m_context.running_time() };
}

void ProxiedRequest::end_call()
{
    if (m_send)
        m_send->call.reset();
}

bool ProxiedRequest::is_trusted_success(ServerSend const& send) const
{
    auto const& answer = send.answer();
    return answer.status / 100 == 2 && answer.is_genuine && answer.request_id == m_head.request_id;
}

void ProxiedRequest::on_data(ServerSend& send, std::string_view data)
{
    if (is_over())
        return;
    auto const now = Core::monotonic_now();
    send.on_heard(moment(now));
    m_context.servers.on_heard(send.target().id, now);
    if (m_phase == Phase::Waiting)
        go_on_with(send);
    if (is_stream() && is_trusted_success(send)) {
        pass_events(send, data);
        return;
    }
    if (send.body.size() + data.size() > most_buffered_answer) {
        end_send(send, SendEnd::BrokenOff, ServerOutcome::Failure);
        return;
    }
    send.body.append(data);
}

void ProxiedRequest::pass_events(ServerSend& send, std::string_view data)
{
    auto const events = send.events.feed(data);
    if (send.events.is_overgrown()) {
        end_send(send, SendEnd::BrokenOff, ServerOutcome::Failure);
        return;
    }
    std::string out;
    bool has_gap = false;
    for (auto const& event : events) {
        auto const id = m_context.heads.event_id(event);
        // An event that the caller has already is not passed on twice; one behind a gap is no part of this answer.
        if (id && m_last_event && *id <= *m_last_event)
            continue;
        has_gap = id && *id != m_last_event.value_or(*id - 1) + 1;
        if (has_gap)
            break;
        if (id)
            m_last_event = id;
        out += event;
    }
    if (!out.empty())
        deliver(send, out);
    if (has_gap && !is_over()) {
        m_context.metrics.count("mountbarrow_event_gaps_total");
        end_send(send, SendEnd::BrokenOff, ServerOutcome::Failure);
    }
}

void ProxiedRequest::deliver(ServerSend& send, std::string const& events)
{
    go_on_with(send);
    send.on_event();
    if (m_has_delivered)
        m_longest_pause = std::max(m_longest_pause, send.heard_at() - m_delivered_at);
    m_delivered_at = send.heard_at();
    m_delivered_running = m_context.running_time();
    if (!m_has_delivered) {
        m_has_delivered = true;
        m_first_event_after = send.heard_at() - m_started;
        m_context.metrics.observe_ms("mountbarrow_first_event_ms", static_cast<double>(m_first_event_after->count()));
        m_context.metrics.observe_ms("mountbarrow_server_first_event_ms", static_cast<double>((send.heard_at() - send.sent_at()).count()));
        m_caller->start(send.answer().status, send.answer().headers, {});
    }
    m_context.servers.on_first_event(send.target().id, m_head.request_id, send.heard_at());
    m_caller->part(events);
    if (m_caller->pending_bytes() > most_unread_bytes) {
        end_call();
        break_off(Refusal::CallerTooSlow);
    }
}

void ProxiedRequest::on_done(ServerSend& send)
{
    if (is_over())
        return;
    auto const& answer = send.answer();
    if (answer.is_not_run) {
        m_server_retry_after = answer.retry_after;
        end_send(send, SendEnd::NotRun, answer.status == status_misdirected ? ServerOutcome::Misdirected : ServerOutcome::Full);
        return;
    }
    bool const is_other_answer = answer.request_id != m_head.request_id;
    bool const is_false_success = answer.status / 100 == 2 && !answer.is_genuine;
    if (is_other_answer || is_false_success) {
        end_send(send, SendEnd::BrokenOff, ServerOutcome::Failure);
        return;
    }
    if (answer.status / 100 != 2) {
        on_failure_status(send);
        return;
    }
    if (!is_stream()) {
        pass_whole_answer(send);
        return;
    }
    if (send.events.has_partial_event() || !m_has_delivered) {
        on_broken_off(send);
        return;
    }
    go_on_with(send);
    m_caller->end();
    end_call();
    m_suspected.on_ran_to_end();
    leave_server(ServerOutcome::Success, Core::monotonic_now());
    finish(Refusal::None, answer.status);
}

void ProxiedRequest::pass_whole_answer(ServerSend& send)
{
    go_on_with(send);
    end_call();
    m_caller->reply(send.answer().status, send.answer().headers, send.body);
    m_suspected.on_ran_to_end();
    leave_server(ServerOutcome::Success, Core::monotonic_now());
    finish(Refusal::None, send.answer().status);
}

/// Statuses that promise that nothing ran. A backend server that ran the request must not make that promise through us.
static bool promises_not_run(int status)
{
    return status == status_unavailable || status == status_too_many || status == status_request_timeout || status == status_misdirected;
}

void ProxiedRequest::on_failure_status(ServerSend& send)
{
    if (send.answer().status < status_server_error && !promises_not_run(send.answer().status)) {
        // The request itself is at fault: the answer stands.
        pass_whole_answer(send);
        return;
    }
    m_suspected.on_ran_to_end();
    end_send(send, SendEnd::ServerFailure, ServerOutcome::Failure);
}

void ProxiedRequest::on_failed(ServerSend& send, Transport::CallFailure failure)
{
    if (is_over())
        return;
    bool const is_unsent = failure == Transport::CallFailure::NotConnected || failure == Transport::CallFailure::Refused;
    if (is_unsent)
        end_send(send, SendEnd::NotConnected, ServerOutcome::Unreachable);
    else
        on_broken_off(send);
}

/// A server that ended speaks against what it ran, and is no attempt that the caller had; a cut connection says nothing of either.
/// The answer to this comes after one way there and back.
void ProxiedRequest::on_broken_off(ServerSend& send)
{
    send.call.reset();
    if (is_current(send))
        m_phase = Phase::Asking;
    m_context.crashes.ask_whether_ended(send.target().id, send.target().address, [weak = weak_from_this(), send = send.weak_from_this()](bool has_ended) {
        auto self = weak.lock();
        auto broken = send.lock();
        if (self && broken && !self->is_over())
            self->on_asked(*broken, has_ended);
    });
}

void ProxiedRequest::on_asked(ServerSend& send, bool has_ended)
{
    if (is_current(send)) {
        if (m_phase != Phase::Asking)
            return;
        m_phase = Phase::Sent;
    } else if (!is_silent(send)) {
        return;
    }
    if (has_ended) {
        m_suspected.on_ended_under(send.incarnation());
        end_send(send, SendEnd::ServerEnded, ServerOutcome::Unreachable);
        return;
    }
    end_send(send, SendEnd::BrokenOff, m_context.servers.is_switching(send.target().id, Core::monotonic_now()) ? ServerOutcome::Neutral : ServerOutcome::Failure);
}

// Sends whose servers are silent.

bool ProxiedRequest::is_silent(ServerSend const& send) const
{
    return std::any_of(m_silent.begin(), m_silent.end(), [&](auto const& silent) { return silent.get() == &send; });
}

/// Looks for another server, and keeps the silent one's answer: it may come after all, and until another one has begun its own
/// there is nothing better for the caller.
void ProxiedRequest::look_beside_silent(Core::Time now)
{
    if (m_suspected.standing() != Routing::CrashStanding::Clear) {
        // Of a request that may end its servers no two copies run.
        end_send(*m_send, SendEnd::Silent, ServerOutcome::Unreachable);
        return;
    }
    m_context.metrics.count("mountbarrow_silent_sends_total");
    Core::log_event(Core::LogLevel::Info, "send_silent",
        { { "request", m_head.request_id }, { "server", m_send->target().id }, { "heard_ms_ago", milliseconds(now - m_send->heard_at()) }, { "ran_since_heard_ms", milliseconds(m_send->silent_for(m_context.running_time())) }, { "last_event", m_last_event ? std::to_string(*m_last_event) : "" } });
    m_context.servers.on_silent(m_send->target().id, m_head.request_id, now);
    m_suspected.on_send_over();
    m_tried[m_send->target().id] = m_send->target().started_at_ms;
    m_may_have_run = true;
    m_silent.push_back(std::move(m_send));
    send_again();
}

/// The answer that the caller gets is this send's: all others end.
void ProxiedRequest::go_on_with(ServerSend& send)
{
    if (is_current(send) && m_silent.empty())
        return;
    auto const now = Core::monotonic_now();
    auto const chosen = send.shared_from_this();
    if (!is_current(send)) {
        m_wait.leave();
        if (is_at_server()) {
            end_call();
            leave_server(ServerOutcome::Neutral, now);
        }
        m_suspected.on_sent(send.target().id);
        m_context.metrics.count("mountbarrow_silent_sends_heard_again_total");
    }
    std::erase(m_silent, chosen);
    leave_silent();
    m_send = chosen;
    m_phase = Phase::Sent;
}

/// Where no other server could go on with the answer, the last silent one still may.
bool ProxiedRequest::return_to_silent()
{
    // One whose answer broke off only waits for the word whether its server has ended.
    auto const last = std::find_if(m_silent.rbegin(), m_silent.rend(), [](auto const& send) { return send->call != nullptr; });
    if (last == m_silent.rend())
        return false;
    m_wait.leave();
    m_send = *last;
    std::erase(m_silent, m_send);
    m_phase = Phase::Sent;
    m_send->on_heard({ m_send->heard_at(), m_context.running_time() });
    m_suspected.on_sent(m_send->target().id);
    return true;
}

void ProxiedRequest::leave_silent()
{
    auto const now = Core::monotonic_now();
    for (auto const& send : std::exchange(m_silent, {})) {
        send->call.reset();
        m_context.servers.on_ended(send->target().id, m_head.request_id, ServerOutcome::Neutral, now);
    }
}

/// A silent send is over; whatever was begun beside it goes on.
void ProxiedRequest::end_silent_send(ServerSend& send, SendEnd end, ServerOutcome outcome)
{
    auto const now = Core::monotonic_now();
    auto const ended = send.shared_from_this();
    ended->call.reset();
    std::erase(m_silent, ended);
    m_context.servers.on_ended(ended->target().id, m_head.request_id, outcome, now);
    count_end(end);
    m_context.metrics.count("mountbarrow_sends_ended_total", std::string("reason=\"") + Routing::send_end_name(end) + "\"");
    Core::log_event(Core::LogLevel::Info, "silent_send_ended",
        { { "request", m_head.request_id }, { "server", ended->target().id }, { "end", Routing::send_end_name(end) }, { "after_ms", milliseconds(now - ended->sent_at()) } });
}

/// What the request is told by from others, whatever its id. What a server runs is given by these, and not by the key.
Routing::RequestContent ProxiedRequest::content() const
{
    std::string_view caller;
    if (m_customer)
        caller = *m_customer;
    else if (m_head.key)
        caller = *m_head.key;
    return { m_caller->head().method, m_head.host, m_caller->head().target, caller, m_caller->body() };
}

void ProxiedRequest::leave_server(ServerOutcome outcome, Core::Time now)
{
    m_suspected.on_send_over();
    m_context.servers.on_ended(m_send->target().id, m_head.request_id, outcome, now);
}

Routing::AttemptState ProxiedRequest::attempt_state(Core::Time now) const
{
    Routing::AttemptState state;
    state.kind = m_route.kind;
    state.is_resumable = m_route.is_resumable;
    state.has_delivered = m_has_delivered;
    state.may_have_run = m_may_have_run;
    state.sends = m_sends;
    state.max_attempts = m_route.max_attempts;
    state.misses = m_misses;
    state.ended_servers = m_ended_servers;
    state.has_budget = m_context.retries.has_left(m_service, now);
    state.remaining = deadline() - now;
    return state;
}

/// What ran nothing, or ended with its server, is no attempt of the route's.
void ProxiedRequest::count_end(SendEnd end)
{
    if (end == SendEnd::NotConnected || end == SendEnd::NotRun)
        m_misses += 1;
    if (end == SendEnd::NotRun || end == SendEnd::ServerEnded)
        m_sends -= 1;
    if (end == SendEnd::ServerEnded)
        m_ended_servers += 1;
}

void ProxiedRequest::end_send(ServerSend& send, SendEnd end, ServerOutcome outcome)
{
    if (!is_current(send)) {
        end_silent_send(send, end, outcome);
        return;
    }
    auto const now = Core::monotonic_now();
    end_call();
    leave_server(outcome, now);
    if (outcome == ServerOutcome::Misdirected && m_context.servers.is_doubtful(m_send->target().id))
        m_context.list_doubted();
    // One that was only full may have room by the time that another is wanted.
    if (outcome != ServerOutcome::Full)
        m_tried[m_send->target().id] = m_send->target().started_at_ms;
    bool const is_miss = end == SendEnd::NotConnected || end == SendEnd::NotRun;
    count_end(end);
    auto const step = Routing::next_step(end, attempt_state(now));
    if (!is_miss)
        m_may_have_run = true;
    m_context.metrics.count("mountbarrow_sends_ended_total", std::string("reason=\"") + Routing::send_end_name(end) + "\"");
    Core::log_event(Core::LogLevel::Info, "send_ended",
        { { "request", m_head.request_id }, { "server", m_send->target().id }, { "end", Routing::send_end_name(end) }, { "status", std::to_string(m_send->has_head() ? m_send->answer().status : 0) }, { "after_ms", milliseconds(now - m_send->sent_at()) }, { "heard_ms_ago", milliseconds(now - m_send->heard_at()) }, { "ran_since_heard_ms", milliseconds(m_send->silent_for(m_context.running_time())) }, { "has_budget", m_context.retries.has_left(m_service, now) ? "yes" : "no" }, { "next", std::to_string(static_cast<int>(step)) }, { "last_event", m_last_event ? std::to_string(*m_last_event) : "" } });
    take_step(step, end);
}

void ProxiedRequest::take_step(NextStep step, SendEnd end)
{
    bool const goes_on = step == NextStep::SendAgain || step == NextStep::Resume;
    bool const has_answer = step == NextStep::PassFailure;
    if (!goes_on && !has_answer && return_to_silent())
        return;
    switch (step) {
    case NextStep::SendAgain:
    case NextStep::Resume:
        // A call that never connected did not arrive anywhere, so it costs nothing.
        if (!m_silent.empty() || end == SendEnd::NotConnected || m_context.retries.try_spend(m_service, Core::monotonic_now())) {
            send_again();
            return;
        }
        if (m_has_delivered)
            break_off(Refusal::BrokenOff);
        else if (m_may_have_run)
            refuse(status_bad_gateway, Refusal::OutcomeUnknown, {});
        else
            refuse_not_run();
        return;
    case NextStep::PassFailure:
        if (promises_not_run(m_send->answer().status))
            refuse(status_bad_gateway, Refusal::OutcomeUnknown, {});
        else
            pass_whole_answer(*m_send);
        return;
    case NextStep::RefuseNotRun:
        refuse_not_run();
        return;
    case NextStep::AnswerUnknown:
        refuse(end == SendEnd::Silent || end == SendEnd::Outdated ? status_gateway_timeout : status_bad_gateway, Refusal::OutcomeUnknown, {});
        return;
    case NextStep::BreakOff:
        break_off(Refusal::BrokenOff);
        return;
    }
}

void ProxiedRequest::refuse_not_run()
{
    refuse(status_unavailable, Refusal::NotRunAnywhere, m_server_retry_after.value_or(m_context.servers.turnover(m_service)));
}

void ProxiedRequest::send_again()
{
    m_phase = Phase::Waiting;
    if (!try_send())
        wait_for_place();
}

void ProxiedRequest::tick(Core::Time now)
{
    auto keep = shared_from_this();
    if (is_over())
        return;
    if (now >= deadline()) {
        bool const was_sent = is_at_server() && m_send->is_connected();
        bool const may_have_run = m_may_have_run || was_sent;
        if (is_at_server()) {
            end_call();
            leave_server(ServerOutcome::Neutral, now);
        }
        if (m_has_delivered)
            break_off(Refusal::DeadlinePassed);
        else
            refuse(may_have_run ? status_gateway_timeout : status_unavailable, Refusal::DeadlinePassed, {});
        return;
    }
    drop_outdated_silent(now);
    if (m_phase == Phase::Waiting) {
        check_waiting(now);
        return;
    }
    if (m_phase == Phase::Asking)
        return;
    if (m_phase == Phase::Sent && is_outdated(*m_send, now)) {
        end_send(*m_send, SendEnd::Outdated, ServerOutcome::Neutral);
        return;
    }
    auto const objective = m_has_delivered ? m_route.objective_gap_ms : m_route.objective_ms;
    auto const silence = std::max(least_silence, Core::Duration(static_cast<int64_t>(silence_per_objective * static_cast<double>(objective))));
    bool const may_give_up_send = Routing::is_repeatable(attempt_state(now)) && m_sends < m_route.max_attempts;
    auto const patience = m_context.servers.is_answering(m_send->target().id, now) ? silence * patience_with_answering : silence;
    if (m_phase == Phase::Sent && m_send->is_connected() && may_give_up_send && m_send->look_for_silence(m_context.running_time(), patience))
        look_beside_silent(now);
}

/// A server that begins now would begin on a version that is too old for it.
bool ProxiedRequest::is_outdated(ServerSend const& send, Core::Time now) const
{
    if (send.has_event() || send.target().version == 0)
        return false;
    auto const required = m_context.required_version(m_service);
    return required && send.target().version < *required && Routing::is_repeatable(attempt_state(now));
}

void ProxiedRequest::drop_outdated_silent(Core::Time now)
{
    auto const sends = m_silent;
    for (auto const& send : sends) {
        if (is_outdated(*send, now))
            end_silent_send(*send, SendEnd::Outdated, ServerOutcome::Neutral);
    }
}

void ProxiedRequest::refuse_waiting(Core::Time now)
{
    m_wait.log_refusal(m_head.request_id, waiting(), now);
    m_wait.leave();
    if (return_to_silent())
        return;
    if (m_has_delivered) {
        break_off(Refusal::NoPlace);
        return;
    }
    if (m_may_have_run) {
        refuse(status_bad_gateway, Refusal::OutcomeUnknown, {});
        return;
    }
    if (m_no_server == Routing::NoServer::NoneUsable) {
        // No place becomes free: engines have to come, or to be loaded.
        refuse(status_unavailable, Refusal::NoServer, longest_retry_after);
        return;
    }
    refuse(status_unavailable, Refusal::NoPlace, m_wait.retry_after(m_service, now, m_context.random));
}

void ProxiedRequest::refuse(int status, Refusal refusal, std::optional<Core::Duration> retry_after)
{
    bool const is_not_run = promises_not_run(status) || (refusal == Refusal::EndsServers && !m_may_have_run);
    auto const outcome = is_not_run ? Schema::Outcome::NotRun : status < status_server_error ? Schema::Outcome::Rejected
                                                                                             : Schema::Outcome::Unknown;
    auto const problem = refusal_problem(refusal, status, outcome, retry_after);
    remember_caller();
    m_caller->reply(status, m_context.heads.generated_answer_headers(m_head.request_id, retry_after), Schema::to_text(problem));
    finish(refusal, status);
}

/// A caller that still has time may ask again, here or at another entry.
void ProxiedRequest::remember_caller()
{
    bool const was_admitted = !m_service.empty();
    if (was_admitted && m_head.deadline)
        m_context.returning.on_refused({ m_suspected.digest(), m_first_asked, m_started + *m_head.deadline }, Core::monotonic_now());
}

void ProxiedRequest::break_off(Refusal refusal)
{
    m_caller->abort();
    finish(refusal, 0);
}

void ProxiedRequest::on_blamed(std::string const& digest)
{
    auto keep = shared_from_this();
    bool const is_this = !is_over() && m_phase != Phase::Admitting && m_suspected.is(digest);
    if (!is_this || m_suspected.standing() != Routing::CrashStanding::Blamed)
        return;
    m_may_have_run = m_may_have_run || (is_at_server() && m_send->is_connected());
    // A server that has not begun it yet drops it with its connection.
    end_call();
    refuse_if_blamed();
}

/// A caller is told at once, and not to come back: an answer that promises that nothing ran would have it come again, and one that
/// finds fault with the request's form would be wrong.
bool ProxiedRequest::refuse_if_blamed()
{
    if (m_suspected.standing() != Routing::CrashStanding::Blamed)
        return false;
    m_wait.leave();
    if (m_has_delivered)
        break_off(Refusal::EndsServers);
    else
        refuse(m_may_have_run ? status_bad_gateway : status_server_error, Refusal::EndsServers, {});
    return true;
}

void ProxiedRequest::give_up()
{
    if (is_over())
        return;
    bool const may_have_run = m_may_have_run || is_at_server();
    end_call();
    if (m_has_delivered)
        break_off(Refusal::Stopping);
    else
        refuse(may_have_run ? status_bad_gateway : status_unavailable, Refusal::Stopping, retry_when_unready);
}

void ProxiedRequest::finish(Refusal refusal, int status)
{
    auto const now = Core::monotonic_now();
    m_wait.leave();
    leave_silent();
    bool const was_sent = is_at_server();
    m_phase = Phase::Over;
    if (was_sent)
        leave_server(ServerOutcome::Neutral, now);
    m_context.metrics.count("mountbarrow_requests_total", std::string("end=\"") + refusal_name(refusal) + "\"");
    m_context.metrics.observe_ms("mountbarrow_request_ms", static_cast<double>((now - m_started).count()));
    if (m_has_delivered)
        m_context.metrics.observe_ms("mountbarrow_longest_pause_ms", static_cast<double>(m_longest_pause.count()));
    auto const level = refusal == Refusal::None ? Core::LogLevel::Info : Core::LogLevel::Warn;
    Core::log_event(level, "request_ended",
        { { "request", m_head.request_id }, { "route", m_route.name }, { "end", refusal_name(refusal) }, { "status", std::to_string(status) }, { "after_ms", milliseconds(now - m_started) }, { "first_event_ms", m_first_event_after ? milliseconds(*m_first_event_after) : "" }, { "longest_pause_ms", milliseconds(m_longest_pause) }, { "objective_ms", std::to_string(m_route.objective_ms) }, { "pause_objective_ms", std::to_string(m_route.objective_gap_ms) }, { "prompt_tokens", std::to_string(m_head.prompt_tokens) }, { "asked_before_ms", milliseconds(m_started - m_first_asked) }, { "server", m_send ? m_send->target().id : "" }, { "sends", std::to_string(m_sends) }, { "last_event", m_last_event ? std::to_string(*m_last_event) : "" } });
    m_context.over(m_number);
}

}
