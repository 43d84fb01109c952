// SPDX-License-Identifier: BSD-2-Clause
#include "ProxiedRequest.h"

#include "AnswerStatements.h"
#include "PromptSizeLabel.h"
#include <LibCore/Log.h>
#include <LibRouting/PromptParts.h>
#include <LibSchema/Json.h>
#include <LibTransport/SocketAddress.h>
#include <algorithm>
#include <tuple>
#include <utility>

namespace DirectEntry {

using Routing::AttemptOutcome;
using Routing::max_retry_after;
using Routing::NextStep;
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

// Time limit of a request whose caller names no deadline; the route's timeout may be shorter.
static constexpr Core::Duration default_time_allowed { 30000 };
// Allowance for the time that a first event takes from here to the caller, and for the median error of a prediction.
static constexpr Core::Duration answer_margin { 20 };
static constexpr Core::Duration max_connect_time { 300 };
// Nothing received for this multiple of the route's objective, and at least for the minimum, makes a server count as silent.
static constexpr Core::Duration min_silence_limit { 900 };
static constexpr double silence_limit_per_objective = 2.5;
// Factor on the silence limit while the server answers other requests: this one waits behind them, and sending it elsewhere would only
// add to the load.
static constexpr int64_t silence_factor_while_answering = 2;
// Bytes of a stream that may wait for a slow caller before its answer is aborted.
static constexpr size_t max_undelivered_bytes = size_t { 1 } << 20;
// Longest body of an answer that is passed on as a whole.
static constexpr size_t max_buffered_answer_bytes = size_t { 8 } << 20;

// At most one part in this many of the objective for the first event is set aside for prefill.
static constexpr int64_t max_prefill_fraction = 3;

static std::string milliseconds(Core::Duration duration)
{
    return std::to_string(duration.count());
}

ProxiedRequest::ProxiedRequest(RequestContext& context, std::shared_ptr<Transport::IngressRequest> caller, uint64_t number)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_number(number)
    , m_started(context.arrival_time())
    , m_suspicion(context.crashes, [this] { return content(); })
    , m_wait(context.servers, context.waiting_policy, context.service_queue)
{
}

ProxiedRequest::~ProxiedRequest() = default;

void ProxiedRequest::begin()
{
    m_head = m_context.heads.read_caller(m_caller->head());
    m_suspicion.set_prompt_parts(m_head.shared_prompt_parts);
    m_time_allowed = default_time_allowed;
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
    if (refuse_if_too_late_to_send())
        return;
    m_context.retries.on_request(m_service, m_started);
    m_context.request_admitted(m_service);
    if (!try_send())
        wait_for_slot();
}

void ProxiedRequest::set_terms()
{
    m_first_requested_at = m_started;
    if (m_head.deadline)
        m_first_requested_at = m_context.returning.first_request_time(
            m_route.name, *m_head.deadline, [this] { return m_suspicion.digest(); }, m_started);
    m_terms.in_time_until = m_first_requested_at + Core::Duration(m_route.objective_ms) - answer_margin;
    m_terms.deadline = deadline();
    m_prefill_allowance = { m_context.recent_prompts.record(m_route.name, m_head.prompt_tokens), Core::Duration(m_route.objective_ms / max_prefill_fraction) };
    if (m_started > m_terms.in_time_until)
        count_late("returned");
}

bool ProxiedRequest::admit()
{
    auto const& routes = m_context.routes;
    if (!routes) {
        refuse(status_unavailable, Refusal::NoConfiguration, max_retry_after);
        return false;
    }
    m_configuration_version = routes->version();
    if (!m_context.are_facts_current()) {
        refuse(status_unavailable, Refusal::StaleConfiguration, retry_after_when_unready);
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
    m_time_allowed = std::min(Core::Duration(m_route.timeout_ms), m_head.deadline.value_or(default_time_allowed));
    std::uniform_real_distribution<double> draw(0, 1);
    m_service = Routing::RouteTable::pick_service(m_route, draw(m_context.random));
    m_last_event = m_head.last_event;
    return true;
}

void ProxiedRequest::refuse_denied(Routing::RouteDenial denial)
{
    if (denial != Routing::RouteDenial::BlockedRoute && m_context.is_stale()) {
        // A newer configuration, not received yet, may allow it.
        refuse(status_unavailable, Refusal::StaleConfiguration, retry_after_when_unready);
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
        refuse(status_unavailable, Refusal::UnreadableConfiguration, max_retry_after);
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
    request.prefill_allowance = m_prefill_allowance;
    request.terms = m_terms;
    // A pause of this process must not count as a pause of the servers' answer.
    if (m_has_delivered)
        request.delivered_at = Core::monotonic_now() - (m_context.running_time() - m_delivered_at_running);
    return request;
}

void ProxiedRequest::wait_for_slot()
{
    if (is_over())
        return;
    auto const now = Core::monotonic_now();
    m_phase = Phase::Waiting;
    auto const request = waiting();
    m_wait.begin(request, now);
    if (m_silent_attempts.empty() && m_wait.should_refuse(request, m_no_server, now)) {
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
    if (refuse_if_too_late_to_send())
        return;
    auto const request = waiting();
    if (m_wait.has_become_late(request, now)) {
        m_wait.leave();
        set_late("waited", now);
        wait_for_slot();
        return;
    }
    // While a silent server may still answer, waiting for another one costs nothing.
    if (m_silent_attempts.empty() && m_wait.should_refuse(request, m_no_server, now))
        refuse_waiting(now);
}

Routing::ServerRequirements ProxiedRequest::requirements()
{
    Routing::ServerRequirements requirements;
    requirements.service = m_service;
    requirements.required_version = m_context.required_version(m_service);
    requirements.newest_version = m_context.newest_version(m_service);
    requirements.prompt_tokens = m_head.prompt_tokens;
    requirements.answer_tokens = std::min(m_head.answer_tokens_hint, m_head.answer_tokens);
    requirements.max_answer_tokens = m_head.answer_tokens;
    if (is_stream() && !m_has_delivered)
        requirements.max_time_to_end = deadline() - Core::monotonic_now();
    requirements.prefill_allowance = m_prefill_allowance;
    requirements.excluded = tried_servers();
    requirements.max_event_gap = Core::Duration(m_route.objective_gap_ms);
    m_suspicion.add_to(requirements);
    return requirements;
}

/// Servers that were tried, except those that restarted since: a new incarnation may be tried as far as the request may be repeated.
std::set<std::string> ProxiedRequest::tried_servers() const
{
    std::set<std::string> tried;
    for (auto const& [id, started_at_ms] : m_tried_servers) {
        auto const latest = m_context.servers.started_at_ms(id);
        bool const has_restarted = started_at_ms && latest && *started_at_ms < *latest;
        if (!has_restarted)
            tried.insert(id);
    }
    return tried;
}

std::optional<Routing::NoServer> ProxiedRequest::obstacle_to_sending(Core::Time now)
{
    if (!m_context.are_facts_current())
        return Routing::NoServer::StaleFacts;
    // The deadline may have passed during a pause of the process; then the next tick refuses the request.
    if (now >= deadline())
        return Routing::NoServer::DeadlinePassed;
    if (!m_suspicion.can_send())
        return Routing::NoServer::SuspectRuns;
    bool const has_budget = m_silent_attempts.empty() || m_context.retries.has_remaining(m_service, now);
    if (!has_budget)
        return Routing::NoServer::NoRetryBudget;
    return {};
}

bool ProxiedRequest::try_send()
{
    if (is_over() || refuse_if_blamed() || refuse_if_too_late_to_send())
        return true;
    auto const now = Core::monotonic_now();
    if (auto const obstacle = obstacle_to_sending(now)) {
        m_no_server = *obstacle;
        return false;
    }
    if (m_has_delivered || now <= m_terms.in_time_until)
        return try_send_in_time(now);
    return try_send_late(now);
}

bool ProxiedRequest::try_send_in_time(Core::Time now)
{
    auto requirements = this->requirements();
    if (!m_has_delivered)
        requirements.max_time_to_first_event = m_terms.in_time_until - now;
    auto const choice = m_context.servers.choose(requirements, now);
    if (choice.has_value()) {
        send_to(*choice, now);
        return true;
    }
    m_no_server = choice.error();
    if (m_no_server != Routing::NoServer::NoneInTime)
        return false;
    set_late("none_in_time", now);
    return try_send_late(now);
}

void ProxiedRequest::count_late(char const* reason)
{
    m_context.metrics.count("mountbarrow_late_requests_total", std::string("reason=\"") + reason + "\"," + prompt_size_label(m_head.prompt_tokens));
}

/// The request's answer can't begin within the objective any more: it is treated as late from now on.
void ProxiedRequest::set_late(char const* reason, Core::Time now)
{
    count_late(reason);
    Core::log_event(Core::LogLevel::Info, "request_late",
        { { "request", m_head.request_id }, { "route", m_route.name }, { "reason", reason }, { "after_ms", milliseconds(now - m_started) }, { "in_time_for_ms", milliseconds(m_terms.in_time_until - now) }, { "prompt_tokens", std::to_string(m_head.prompt_tokens) } });
    m_terms.in_time_until = now - Core::Duration(1);
}

bool ProxiedRequest::try_send_late(Core::Time now)
{
    auto requirements = this->requirements();
    requirements.uses_only_spare_slots = m_context.waiting_policy.orders_by_timeliness;
    auto const choice = m_context.servers.choose(requirements, now);
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
    // Beside an attempt at a silent server, the retry budget is spent only now: without a free slot or budget the silent one is kept.
    if (!m_silent_attempts.empty())
        m_context.retries.try_spend(m_service, now);
    if (m_counted_attempts + m_unrun_attempts == 0)
        m_context.metrics.observe_ms("mountbarrow_wait_before_send_ms", static_cast<double>((now - m_started).count()));
    m_phase = Phase::Sent;
    auto const version = m_context.servers.version_of(choice.id, now);
    m_attempt = std::make_shared<BackendAttempt>(BackendAttempt::Target { choice.id, server->address, version, m_context.servers.started_at_ms(choice.id) }, moment(now));

    Platform::BackendRequestFields terms;
    terms.server_id = choice.id;
    terms.customer = m_customer;
    terms.remaining = deadline() - now;
    // An engine that has loaded another version refuses the request: that load may not have been found whole.
    if (version > 0)
        terms.expected_version = version;
    terms.last_event = m_last_event;
    m_context.servers.on_sent(m_head.request_id, choice, m_head.prompt_tokens, now);
    m_suspicion.on_sent(choice.id);
    Core::log_event(Core::LogLevel::Info, "request_sent",
        { { "request", m_head.request_id }, { "route", m_route.name }, { "server", choice.id }, { "address", server->address }, { "domain", server->failure_domain }, { "predicted_ms", milliseconds(choice.predicted) }, { "in_time_for_ms", milliseconds(m_terms.in_time_until - now) }, { "prompt_tokens", std::to_string(m_head.prompt_tokens) }, { "answer_tokens", std::to_string(m_head.answer_tokens) }, { "attempt", std::to_string(m_counted_attempts + m_unrun_attempts + 1) }, { "after_ms", milliseconds(now - m_started) }, { "remaining_ms", milliseconds(terms.remaining) }, { "configuration", std::to_string(m_configuration_version) }, { "expected_version", terms.expected_version ? std::to_string(*terms.expected_version) : "any" }, { "resume_after", m_last_event ? std::to_string(*m_last_event) : "" } });
    start_call(terms);
}

void ProxiedRequest::start_call(Platform::BackendRequestFields const& terms)
{
    Transport::BackendCallRequest call;
    std::tie(call.address, call.port) = Transport::split_address(m_attempt->target().address);
    call.bytes = m_context.heads.write_request(m_caller->head(), m_caller->body(), terms);
    call.connect_timeout = std::min(max_connect_time, terms.remaining);
    if (m_caller->head().method == "HEAD")
        call.body_expectation = Transport::BodyExpectation::None;
    // The attempt owns the call, so no callback outlives the attempt.
    auto* const attempt = m_attempt.get();
    m_attempt->call = Transport::BackendCall::start(m_context.loop, std::move(call),
        { .connected = [this, attempt] {
             m_counted_attempts += 1;
             attempt->on_connected(moment(Core::monotonic_now())); },
            .head = [this, attempt](Transport::MessageHead const& head) { on_head(*attempt, head); },
            .data = [this, attempt](std::string_view data) { auto keep = shared_from_this(); on_data(*attempt, data); },
            .done = [this, attempt] { auto keep = shared_from_this(); on_done(*attempt); },
            .failed = [this, attempt](Transport::CallFailure failure) { auto keep = shared_from_this(); on_failed(*attempt, failure); } });
}

BackendAttempt::Moment ProxiedRequest::moment(Core::Time now) const
{
    return { now, m_context.running_time() };
}

void ProxiedRequest::end_call()
{
    if (m_attempt)
        m_attempt->end_call();
}

bool ProxiedRequest::is_trusted_success(BackendAttempt const& attempt) const
{
    auto const& answer = attempt.answer_head();
    return answer.status / 100 == 2 && answer.is_genuine && answer.request_id == m_head.request_id;
}

void ProxiedRequest::on_head(BackendAttempt& attempt, Transport::MessageHead const& head)
{
    auto const now = Core::monotonic_now();
    attempt.on_head(m_context.heads.read_backend(head), head.body_end, moment(now));
    // Another server may have taken over the address.
    if (attempt.answer_head().status == status_misdirected)
        return;
    // The attempt owns its statements, and the context outlives it.
    auto const take_effect = [&context = m_context, request_id = m_head.request_id, &attempt, now] {
        auto const& target = attempt.target();
        auto const statements = record_statements(context.metrics, request_id, target.id, attempt.answer_head());
        context.servers.on_answer_head(target.id, target.started_at_ms, statements, attempt.sent_at(), now);
    };
    attempt.statements = std::make_unique<DeferredStatements>(m_context.loop, take_effect);
}

void ProxiedRequest::on_data(BackendAttempt& attempt, std::string_view data)
{
    if (is_over())
        return;
    auto const now = Core::monotonic_now();
    attempt.on_bytes_received(moment(now));
    m_context.servers.on_received(attempt.target().id, now);
    if (m_phase == Phase::Waiting)
        select_attempt(attempt);
    if (is_stream() && is_trusted_success(attempt)) {
        pass_events(attempt, data);
        return;
    }
    if (attempt.body.size() + data.size() > max_buffered_answer_bytes) {
        end_attempt(attempt, AttemptOutcome::BrokenOff, ServerOutcome::Failure);
        return;
    }
    attempt.body.append(data);
}

void ProxiedRequest::pass_events(BackendAttempt& attempt, std::string_view data)
{
    auto const events = attempt.events.feed(data);
    if (attempt.events.is_oversized()) {
        end_attempt(attempt, AttemptOutcome::BrokenOff, ServerOutcome::Failure);
        return;
    }
    std::string out;
    bool has_gap = false;
    for (auto const& event : events) {
        auto const id = m_context.heads.event_id(event);
        // An event that the caller already has is not delivered twice; an event after a gap does not belong to this answer.
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
        deliver(attempt, out);
    if (has_gap && !is_over()) {
        m_context.metrics.count("mountbarrow_event_gaps_total");
        end_attempt(attempt, AttemptOutcome::BrokenOff, ServerOutcome::Failure);
    }
}

void ProxiedRequest::deliver(BackendAttempt& attempt, std::string const& events)
{
    select_attempt(attempt);
    attempt.on_event_delivered();
    if (m_has_delivered)
        m_longest_pause = std::max(m_longest_pause, attempt.last_received_at() - m_delivered_at);
    m_delivered_at = attempt.last_received_at();
    m_delivered_at_running = m_context.running_time();
    if (!m_has_delivered) {
        m_has_delivered = true;
        m_first_event_after = attempt.last_received_at() - m_started;
        m_context.metrics.observe_ms("mountbarrow_first_event_ms", static_cast<double>(m_first_event_after->count()));
        m_context.metrics.observe_ms("mountbarrow_server_first_event_ms", static_cast<double>((attempt.last_received_at() - attempt.sent_at()).count()));
        m_caller->start(attempt.answer_head().status, attempt.answer_head().headers, {});
    }
    m_context.servers.on_first_event(attempt.target().id, m_head.request_id, attempt.last_received_at());
    m_caller->part(events);
    if (m_caller->pending_bytes() > max_undelivered_bytes) {
        end_call();
        abort_answer(Refusal::CallerTooSlow);
    }
}

void ProxiedRequest::on_done(BackendAttempt& attempt)
{
    if (attempt.statements)
        attempt.statements->confirm();
    if (is_over())
        return;
    auto const& answer = attempt.answer_head();
    if (answer.is_not_run) {
        end_attempt(attempt, AttemptOutcome::NotRun, answer.status == status_misdirected ? ServerOutcome::Misdirected : ServerOutcome::Full);
        return;
    }
    bool const is_other_answer = answer.request_id != m_head.request_id;
    bool const is_false_success = answer.status / 100 == 2 && !answer.is_genuine;
    if (is_other_answer || is_false_success) {
        end_attempt(attempt, AttemptOutcome::BrokenOff, ServerOutcome::Failure);
        return;
    }
    bool const is_broken_off = is_stream() && answer.status / 100 == 2 && (attempt.events.has_partial_event() || !m_has_delivered);
    // A leaving server ends as planned, soon after its last answer.
    bool const may_be_cut_off = attempt.body_end() == Transport::BodyEnd::EndOfConnection && !m_context.servers.is_leaving(attempt.target().id);
    if (is_broken_off)
        on_broken_off(attempt);
    else if (may_be_cut_off)
        check_server(attempt, AnswerUnlessTerminated::Whole);
    else
        complete_answer(attempt);
}

void ProxiedRequest::complete_answer(BackendAttempt& attempt)
{
    if (attempt.answer_head().status / 100 != 2) {
        on_failure_status(attempt);
        return;
    }
    if (!is_stream()) {
        pass_whole_answer(attempt);
        return;
    }
    select_attempt(attempt);
    m_caller->end();
    end_call();
    m_suspicion.on_run_completed();
    report_server_outcome(ServerOutcome::Success, Core::monotonic_now());
    finish(Refusal::None, attempt.answer_head().status);
}

void ProxiedRequest::pass_whole_answer(BackendAttempt& attempt)
{
    select_attempt(attempt);
    end_call();
    m_caller->reply(attempt.answer_head().status, attempt.answer_head().headers, attempt.body);
    if (attempt.answer_head().status / 100 == 2)
        m_suspicion.on_run_completed();
    else
        m_suspicion.on_failure_answered();
    report_server_outcome(ServerOutcome::Success, Core::monotonic_now());
    finish(Refusal::None, attempt.answer_head().status);
}

/// Whether callers take the status to mean that nothing ran. Such a status from a backend server that ran the request is not passed on.
static bool promises_not_run(int status)
{
    return status == status_unavailable || status == status_too_many || status == status_request_timeout || status == status_misdirected;
}

void ProxiedRequest::on_failure_status(BackendAttempt& attempt)
{
    if (attempt.answer_head().status < status_server_error && !promises_not_run(attempt.answer_head().status)) {
        // The request itself is invalid: the server's answer is final.
        pass_whole_answer(attempt);
        return;
    }
    m_suspicion.on_failure_answered();
    end_attempt(attempt, AttemptOutcome::ServerFailure, ServerOutcome::Failure);
}

void ProxiedRequest::on_failed(BackendAttempt& attempt, Transport::CallFailure failure)
{
    if (failure == Transport::CallFailure::Malformed && attempt.statements)
        attempt.statements->discard();
    if (is_over())
        return;
    bool const is_unsent = failure == Transport::CallFailure::NotConnected || failure == Transport::CallFailure::Refused;
    if (is_unsent)
        end_attempt(attempt, AttemptOutcome::NotConnected, ServerOutcome::Unreachable);
    else if (failure == Transport::CallFailure::Malformed)
        check_server(attempt, AnswerUnlessTerminated::Malformed);
    else
        on_broken_off(attempt);
}

void ProxiedRequest::on_broken_off(BackendAttempt& attempt)
{
    check_server(attempt, AnswerUnlessTerminated::BrokenOff);
}

/// Determines by a connection attempt, which takes one round trip, whether the server has terminated. If so, the request becomes a
/// suspect and the attempt does not count against the route's limit. A cut connection alone means neither.
void ProxiedRequest::check_server(BackendAttempt& attempt, AnswerUnlessTerminated answer)
{
    attempt.end_call();
    if (is_current(attempt))
        m_phase = Phase::CheckingServer;
    m_context.crashes.check_terminated(attempt.target().id, attempt.target().address, [weak = weak_from_this(), attempt = attempt.weak_from_this(), answer](bool has_terminated) {
        auto self = weak.lock();
        auto checked = attempt.lock();
        if (self && checked && !self->is_over())
            self->on_server_checked(*checked, answer, has_terminated);
    });
}

void ProxiedRequest::on_server_checked(BackendAttempt& attempt, AnswerUnlessTerminated answer, bool has_terminated)
{
    if (is_current(attempt)) {
        if (m_phase != Phase::CheckingServer)
            return;
        m_phase = Phase::Sent;
    } else if (!is_silent(attempt)) {
        return;
    }
    if (has_terminated) {
        m_suspicion.on_terminated_while_running(attempt.incarnation());
        end_attempt(attempt, AttemptOutcome::ServerTerminated, ServerOutcome::Unreachable);
        return;
    }
    if (answer == AnswerUnlessTerminated::Whole) {
        complete_answer(attempt);
        return;
    }
    // A server may break answers off for an order that it executes, but has no such reason to send what is no answer.
    bool const is_excused = answer == AnswerUnlessTerminated::BrokenOff && m_context.servers.is_executing_order(attempt.target().id, Core::monotonic_now());
    end_attempt(attempt, AttemptOutcome::BrokenOff, is_excused ? ServerOutcome::Neutral : ServerOutcome::Failure);
}

// Attempts at silent servers.

bool ProxiedRequest::is_silent(BackendAttempt const& attempt) const
{
    return std::any_of(m_silent_attempts.begin(), m_silent_attempts.end(), [&](auto const& silent) { return silent.get() == &attempt; });
}

/// Tries another server beside the silent one, whose call is kept: its answer may still come, and until another server has begun to
/// answer there is nothing better for the caller.
void ProxiedRequest::try_beside_silent(Core::Time now)
{
    if (m_suspicion.standing() != Routing::CrashStanding::Clear) {
        // No two copies run of a request that may terminate its servers.
        end_attempt(*m_attempt, AttemptOutcome::Silent, ServerOutcome::Unreachable);
        return;
    }
    m_context.metrics.count("mountbarrow_silent_sends_total");
    Core::log_event(Core::LogLevel::Info, "send_silent",
        { { "request", m_head.request_id }, { "server", m_attempt->target().id }, { "heard_ms_ago", milliseconds(now - m_attempt->last_received_at()) }, { "ran_since_heard_ms", milliseconds(m_attempt->silent_for(m_context.running_time())) }, { "last_event", m_last_event ? std::to_string(*m_last_event) : "" } });
    m_context.servers.on_no_response(m_attempt->target().id, m_head.request_id, now);
    m_suspicion.on_attempt_over();
    m_tried_servers[m_attempt->target().id] = m_attempt->target().started_at_ms;
    m_may_have_run = true;
    m_silent_attempts.push_back(std::move(m_attempt));
    send_again();
}

/// Makes this attempt the one whose answer the caller gets, and ends all others.
void ProxiedRequest::select_attempt(BackendAttempt& attempt)
{
    if (is_current(attempt) && m_silent_attempts.empty())
        return;
    auto const now = Core::monotonic_now();
    auto const chosen = attempt.shared_from_this();
    if (!is_current(attempt)) {
        m_wait.leave();
        if (is_at_server()) {
            end_call();
            report_server_outcome(ServerOutcome::Neutral, now);
        }
        m_suspicion.on_sent(attempt.target().id);
        m_context.metrics.count("mountbarrow_silent_sends_heard_again_total");
    }
    std::erase(m_silent_attempts, chosen);
    end_silent_attempts();
    m_attempt = chosen;
    m_phase = Phase::Sent;
}

/// Returns to the last attempt at a silent server, if any, as no other server could be tried with success.
bool ProxiedRequest::return_to_silent_attempt()
{
    // An attempt without a call has broken off, and only waits until it is known whether its server has terminated.
    auto const last = std::find_if(m_silent_attempts.rbegin(), m_silent_attempts.rend(), [](auto const& attempt) { return attempt->call != nullptr; });
    if (last == m_silent_attempts.rend())
        return false;
    m_wait.leave();
    m_attempt = *last;
    std::erase(m_silent_attempts, m_attempt);
    m_phase = Phase::Sent;
    m_attempt->on_bytes_received({ m_attempt->last_received_at(), m_context.running_time() });
    m_suspicion.on_sent(m_attempt->target().id);
    return true;
}

void ProxiedRequest::end_silent_attempts()
{
    auto const now = Core::monotonic_now();
    for (auto const& attempt : std::exchange(m_silent_attempts, {})) {
        attempt->end_call();
        m_context.servers.on_ended(attempt->target().id, m_head.request_id, ServerOutcome::Neutral, now);
    }
}

/// Ends an attempt at a silent server; the current attempt or wait continues.
void ProxiedRequest::end_silent_attempt(BackendAttempt& attempt, AttemptOutcome attempt_outcome, ServerOutcome server_outcome)
{
    auto const now = Core::monotonic_now();
    auto const ended = attempt.shared_from_this();
    ended->end_call();
    std::erase(m_silent_attempts, ended);
    m_context.servers.on_ended(ended->target().id, m_head.request_id, server_outcome, now);
    count_outcome(attempt_outcome);
    m_context.metrics.count("mountbarrow_sends_ended_total", std::string("reason=\"") + Routing::attempt_outcome_name(attempt_outcome) + "\"");
    Core::log_event(Core::LogLevel::Info, "silent_send_ended",
        { { "request", m_head.request_id }, { "server", ended->target().id }, { "end", Routing::attempt_outcome_name(attempt_outcome) }, { "after_ms", milliseconds(now - ended->sent_at()) } });
}

/// The parts that the digest covers: they identify what a server runs. The request id is not among them, and the key only if the
/// customer is unknown.
Routing::RequestContent ProxiedRequest::content() const
{
    std::string_view caller;
    if (m_customer)
        caller = *m_customer;
    else if (m_head.key)
        caller = *m_head.key;
    return { m_caller->head().method, m_head.host, m_caller->head().target, caller, m_caller->body() };
}

void ProxiedRequest::report_server_outcome(ServerOutcome server_outcome, Core::Time now)
{
    m_suspicion.on_attempt_over();
    m_context.servers.on_ended(m_attempt->target().id, m_head.request_id, server_outcome, now);
}

Routing::AttemptState ProxiedRequest::attempt_state(Core::Time now) const
{
    Routing::AttemptState state;
    state.kind = m_route.kind;
    state.is_resumable = m_route.is_resumable;
    state.has_delivered = m_has_delivered;
    state.may_have_run = m_may_have_run;
    state.attempts = m_counted_attempts;
    state.max_attempts = m_route.max_attempts;
    state.attempts_not_run = m_unrun_attempts;
    state.terminated_servers = m_terminated_servers;
    state.has_budget = m_context.retries.has_remaining(m_service, now);
    state.remaining = deadline() - now;
    return state;
}

/// Attempts that ran nothing, or whose server terminated, do not count against the route's limit of attempts.
void ProxiedRequest::count_outcome(AttemptOutcome attempt_outcome)
{
    if (attempt_outcome == AttemptOutcome::NotConnected || attempt_outcome == AttemptOutcome::NotRun)
        m_unrun_attempts += 1;
    if (attempt_outcome == AttemptOutcome::NotRun || attempt_outcome == AttemptOutcome::ServerTerminated)
        m_counted_attempts -= 1;
    if (attempt_outcome == AttemptOutcome::ServerTerminated)
        m_terminated_servers += 1;
}

void ProxiedRequest::end_attempt(BackendAttempt& attempt, AttemptOutcome attempt_outcome, ServerOutcome server_outcome)
{
    if (!is_current(attempt)) {
        end_silent_attempt(attempt, attempt_outcome, server_outcome);
        return;
    }
    auto const now = Core::monotonic_now();
    end_call();
    report_server_outcome(server_outcome, now);
    if (server_outcome == ServerOutcome::Misdirected && m_context.servers.is_repeatedly_misdirected(m_attempt->target().id))
        m_context.server_list_mismatch();
    // A server that was only full may have a free slot when the request is sent again.
    if (server_outcome != ServerOutcome::Full)
        m_tried_servers[m_attempt->target().id] = m_attempt->target().started_at_ms;
    bool const was_not_run = attempt_outcome == AttemptOutcome::NotConnected || attempt_outcome == AttemptOutcome::NotRun;
    count_outcome(attempt_outcome);
    auto const step = Routing::next_step(attempt_outcome, attempt_state(now));
    if (!was_not_run)
        m_may_have_run = true;
    m_context.metrics.count("mountbarrow_sends_ended_total", std::string("reason=\"") + Routing::attempt_outcome_name(attempt_outcome) + "\"");
    Core::log_event(Core::LogLevel::Info, "send_ended",
        { { "request", m_head.request_id }, { "server", m_attempt->target().id }, { "end", Routing::attempt_outcome_name(attempt_outcome) }, { "status", std::to_string(m_attempt->has_head() ? m_attempt->answer_head().status : 0) }, { "after_ms", milliseconds(now - m_attempt->sent_at()) }, { "heard_ms_ago", milliseconds(now - m_attempt->last_received_at()) }, { "ran_since_heard_ms", milliseconds(m_attempt->silent_for(m_context.running_time())) }, { "has_budget", m_context.retries.has_remaining(m_service, now) ? "yes" : "no" }, { "next", std::to_string(static_cast<int>(step)) }, { "last_event", m_last_event ? std::to_string(*m_last_event) : "" } });
    take_step(step, attempt_outcome);
}

void ProxiedRequest::take_step(NextStep step, AttemptOutcome attempt_outcome)
{
    bool const is_sent_again = step == NextStep::RetryFromStart || step == NextStep::Resume;
    bool const has_answer = step == NextStep::ForwardFailure;
    if (!is_sent_again && !has_answer && return_to_silent_attempt())
        return;
    switch (step) {
    case NextStep::RetryFromStart:
    case NextStep::Resume:
        // An attempt that never connected reached no server, so its repetition spends no retry budget.
        if (!m_silent_attempts.empty() || attempt_outcome == AttemptOutcome::NotConnected || m_context.retries.try_spend(m_service, Core::monotonic_now())) {
            send_again();
            return;
        }
        if (m_has_delivered)
            abort_answer(Refusal::BrokenOff);
        else if (m_may_have_run)
            refuse(status_bad_gateway, Refusal::OutcomeUnknown, {});
        else
            refuse_not_run();
        return;
    case NextStep::ForwardFailure:
        if (promises_not_run(m_attempt->answer_head().status))
            refuse(status_bad_gateway, Refusal::OutcomeUnknown, {});
        else
            pass_whole_answer(*m_attempt);
        return;
    case NextStep::RefuseNotRun:
        refuse_not_run();
        return;
    case NextStep::ReportUnknown:
        refuse(attempt_outcome == AttemptOutcome::Silent || attempt_outcome == AttemptOutcome::Outdated ? status_gateway_timeout : status_bad_gateway, Refusal::OutcomeUnknown, {});
        return;
    case NextStep::AbortAnswer:
        abort_answer(Refusal::BrokenOff);
        return;
    }
}

void ProxiedRequest::refuse_not_run()
{
    auto const now = Core::monotonic_now();
    // How long one server wants rest says nothing about the others.
    auto const is_resting = m_context.servers.time_until_rest_ends(m_service, now).has_value();
    auto const retry_after = is_resting ? m_wait.retry_after(m_service, Routing::NoServer::Limited, now, m_context.random) : m_context.servers.server_slot_interval(m_service);
    refuse(status_unavailable, Refusal::NotRunAnywhere, retry_after);
}

void ProxiedRequest::send_again()
{
    m_phase = Phase::Waiting;
    if (!try_send())
        wait_for_slot();
}

void ProxiedRequest::tick(Core::Time now)
{
    auto keep = shared_from_this();
    if (is_over())
        return;
    if (now >= deadline()) {
        bool const was_sent = is_at_server() && m_attempt->is_connected();
        bool const may_have_run = m_may_have_run || was_sent;
        if (is_at_server()) {
            end_call();
            report_server_outcome(ServerOutcome::Neutral, now);
        }
        if (m_has_delivered)
            abort_answer(Refusal::DeadlinePassed);
        else
            refuse(may_have_run ? status_gateway_timeout : status_unavailable, Refusal::DeadlinePassed, {});
        return;
    }
    end_outdated_silent_attempts(now);
    if (m_phase == Phase::Waiting) {
        check_waiting(now);
        return;
    }
    if (m_phase == Phase::CheckingServer)
        return;
    if (m_phase == Phase::Sent && is_outdated(*m_attempt, now)) {
        end_attempt(*m_attempt, AttemptOutcome::Outdated, ServerOutcome::Neutral);
        return;
    }
    auto const objective = m_has_delivered ? m_route.objective_gap_ms : m_route.objective_ms;
    auto const silence = std::max(min_silence_limit, Core::Duration(static_cast<int64_t>(silence_limit_per_objective * static_cast<double>(objective))));
    bool const may_try_another = Routing::is_repeatable(attempt_state(now)) && m_counted_attempts < m_route.max_attempts;
    // A slow engine sends later, and a second engine would only do the same work again.
    auto const expected_silence = Core::Duration(static_cast<int64_t>(static_cast<double>(silence.count()) * m_context.servers.slowdown(m_attempt->target().id, now)));
    auto const silence_limit = m_context.servers.is_answering(m_attempt->target().id, now) ? expected_silence * silence_factor_while_answering : expected_silence;
    if (m_phase == Phase::Sent && m_attempt->is_connected() && may_try_another && m_attempt->check_silence(m_context.running_time(), silence_limit))
        try_beside_silent(now);
}

/// Whether the server has not begun to answer and holds a version older than the required one, and the request may be repeated.
bool ProxiedRequest::is_outdated(BackendAttempt const& attempt, Core::Time now) const
{
    if (attempt.has_delivered_event() || attempt.target().version == 0)
        return false;
    auto const required = m_context.required_version(m_service);
    return required && attempt.target().version < *required && Routing::is_repeatable(attempt_state(now));
}

void ProxiedRequest::end_outdated_silent_attempts(Core::Time now)
{
    auto const attempts = m_silent_attempts;
    for (auto const& attempt : attempts) {
        if (is_outdated(*attempt, now))
            end_silent_attempt(*attempt, AttemptOutcome::Outdated, ServerOutcome::Neutral);
    }
}

void ProxiedRequest::refuse_waiting(Core::Time now)
{
    m_wait.log_refusal(m_head.request_id, waiting(), m_no_server, now);
    m_wait.leave();
    if (return_to_silent_attempt())
        return;
    if (m_has_delivered) {
        abort_answer(Refusal::NoSlot);
        return;
    }
    if (m_may_have_run) {
        refuse(status_bad_gateway, Refusal::OutcomeUnknown, {});
        return;
    }
    if (m_no_server == Routing::NoServer::NoneUsable) {
        // No slot can become free until engines are added or have loaded their weights.
        refuse(status_unavailable, Refusal::NoServer, max_retry_after);
        return;
    }
    auto const refusal = m_no_server == Routing::NoServer::Limited ? Refusal::ServersLimited : Refusal::NoSlot;
    refuse(status_unavailable, refusal, m_wait.retry_after(m_service, m_no_server, now, m_context.random));
}

void ProxiedRequest::refuse(int status, Refusal refusal, std::optional<Core::Duration> retry_after)
{
    bool const is_not_run = promises_not_run(status) || (refusal == Refusal::TerminatesServers && !m_may_have_run);
    auto const outcome = is_not_run ? Schema::Outcome::NotRun : status < status_server_error ? Schema::Outcome::Rejected
                                                                                             : Schema::Outcome::Unknown;
    auto const problem = refusal_problem(refusal, status, outcome, retry_after);
    record_refused_caller();
    m_caller->reply(status, m_context.heads.generated_answer_headers(m_head.request_id, retry_after), Schema::to_text(problem));
    finish(refusal, status);
}

/// Records the refusal: a caller whose deadline has not passed may send the request again, here or at another entry.
void ProxiedRequest::record_refused_caller()
{
    bool const was_admitted = !m_service.empty();
    if (was_admitted && m_head.deadline)
        m_context.returning.on_refused({ m_suspicion.digest(), m_first_requested_at, m_started + *m_head.deadline }, Core::monotonic_now());
}

void ProxiedRequest::abort_answer(Refusal refusal)
{
    m_caller->abort();
    finish(refusal, 0);
}

void ProxiedRequest::on_blamed(std::string const& key)
{
    auto keep = shared_from_this();
    bool const is_this = !is_over() && m_phase != Phase::Admitting && m_suspicion.has_key(key);
    if (!is_this || m_suspicion.standing() != Routing::CrashStanding::Blamed)
        return;
    // The part crashes servers that begin to answer, so an answer under way tells most about a wrong blame, and clears it by its end.
    bool const is_being_answered = is_at_server() && m_attempt->has_delivered_event();
    if (is_being_answered && Routing::is_prompt_part_key(key))
        return;
    m_may_have_run = m_may_have_run || (is_at_server() && m_attempt->is_connected());
    // A server that has not begun the request drops it when its connection closes.
    end_call();
    refuse_if_blamed();
}

/// The caller is refused at once, by a status that does not invite a repetition: one that says that nothing ran would make the caller
/// send the request again, and one that calls the request malformed would be wrong.
bool ProxiedRequest::refuse_if_blamed()
{
    if (m_suspicion.standing() != Routing::CrashStanding::Blamed)
        return false;
    m_wait.leave();
    if (m_has_delivered)
        abort_answer(Refusal::TerminatesServers);
    else
        refuse(m_may_have_run ? status_bad_gateway : status_server_error, Refusal::TerminatesServers, {});
    return true;
}

/// Refuses a request that would still be unfinished when this process ends, as long as that can be said to have run nowhere. What has
/// begun at a backend server gets the time that is left.
bool ProxiedRequest::refuse_if_too_late_to_send()
{
    bool const has_begun = m_may_have_run || m_has_delivered || !m_silent_attempts.empty();
    if (has_begun || m_context.stop.may_send(deadline(), Core::monotonic_now()))
        return false;
    m_wait.leave();
    refuse(status_unavailable, Refusal::Stopping, retry_after_when_unready);
    return true;
}

void ProxiedRequest::end_at_shutdown()
{
    if (is_over())
        return;
    bool const may_have_run = m_may_have_run || is_at_server();
    end_call();
    if (m_has_delivered)
        abort_answer(Refusal::Stopping);
    else
        refuse(may_have_run ? status_bad_gateway : status_unavailable, Refusal::Stopping, retry_after_when_unready);
}

void ProxiedRequest::finish(Refusal refusal, int status)
{
    auto const now = Core::monotonic_now();
    m_wait.leave();
    end_silent_attempts();
    bool const was_sent = is_at_server();
    m_phase = Phase::Over;
    if (was_sent)
        report_server_outcome(ServerOutcome::Neutral, now);
    m_context.metrics.count("mountbarrow_requests_total", std::string("end=\"") + refusal_name(refusal) + "\"");
    if (m_head.prompt_tokens > 0 && !m_service.empty())
        m_context.metrics.count("mountbarrow_requests_by_prompt_total", std::string("end=\"") + refusal_name(refusal) + "\"," + prompt_size_label(m_head.prompt_tokens));
    m_context.metrics.observe_ms("mountbarrow_request_ms", static_cast<double>((now - m_started).count()));
    if (m_has_delivered)
        m_context.metrics.observe_ms("mountbarrow_longest_pause_ms", static_cast<double>(m_longest_pause.count()));
    auto const level = refusal == Refusal::None ? Core::LogLevel::Info : Core::LogLevel::Warn;
    bool const has_found_no_place = refusal == Refusal::NoServer || refusal == Refusal::NoSlot;
    if (has_found_no_place)
        m_context.metrics.count("mountbarrow_no_place_total", std::string("cause=\"") + Routing::no_server_name(m_no_server) + "\"");
    Core::log_event(level, "request_ended",
        { { "request", m_head.request_id }, { "route", m_route.name }, { "end", refusal_name(refusal) }, { "cause", has_found_no_place ? Routing::no_server_name(m_no_server) : "" }, { "servers", has_found_no_place ? m_context.servers.census(requirements(), now).to_text() : "" }, { "status", std::to_string(status) }, { "after_ms", milliseconds(now - m_started) }, { "first_event_ms", m_first_event_after ? milliseconds(*m_first_event_after) : "" }, { "longest_pause_ms", milliseconds(m_longest_pause) }, { "objective_ms", std::to_string(m_route.objective_ms) }, { "pause_objective_ms", std::to_string(m_route.objective_gap_ms) }, { "prompt_tokens", std::to_string(m_head.prompt_tokens) }, { "answer_tokens", std::to_string(m_head.answer_tokens) }, { "answer_tokens_hint", std::to_string(m_head.answer_tokens_hint) }, { "asked_before_ms", milliseconds(m_started - m_first_requested_at) }, { "server", m_attempt ? m_attempt->target().id : "" }, { "sends", std::to_string(m_counted_attempts) }, { "last_event", m_last_event ? std::to_string(*m_last_event) : "" } });
    m_context.request_over(m_number);
}

}
