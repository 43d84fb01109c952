// SPDX-License-Identifier: BSD-2-Clause
#include "CallerApi.h"

#include "Problems.h"
#include <LibCore/Log.h>
#include <LibMembership/IdempotencyKeyOwner.h>
#include <LibSchema/Json.h>
#include <algorithm>

namespace Entry {

static constexpr Core::Duration tick_interval { 20 };
static constexpr size_t default_queue_limit = 256;
static constexpr Core::Duration no_instance_retry_after { 500 };
static constexpr Core::Duration least_queue_retry_after { 100 };
// A caller that reads too slowly is cut off before it costs the entry its memory.
static constexpr size_t most_unread_bytes = 8 * 1024 * 1024;

static std::string label(Schema::Reason reason)
{
    return "reason=\"" + Schema::enumerator_name(reason) + "\"";
}

CallerApi::CallerApi(Core::EventLoop& loop, CallerApiSettings settings, Core::Metrics& metrics, Transport::LinkHub& hub, Membership::InstanceList const& list, Configuration::ReplayedState const& replayed_state, Routing::StopSchedule const& stop, IsConfirmed is_configuration_confirmed)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_hub(hub)
    , m_list(list)
    , m_fold(replayed_state)
    , m_stop(stop)
    , m_is_configuration_confirmed(std::move(is_configuration_confirmed))
    , m_table(m_settings.table, m_settings.seed)
    , m_budget(m_settings.retry_ratio)
    , m_random(m_settings.seed)
    , m_tick_timer(loop.every(tick_interval, [this] { tick(); }))
    , m_share_timer(loop.every(Routing::DemandShares::interval, [this] { share_limits(); }))
{
}

CallerApi::~CallerApi() = default;

Core::Duration CallerApi::spread(Core::Duration base)
{
    return Routing::spread_retry_after(base, m_random);
}

void CallerApi::refuse(Transport::IngressRequest& exchange, Schema::Reason reason, Core::Duration retry_after)
{
    m_metrics.count("mountbarrow_entry_refused_total", label(reason));
    reply_problem(exchange, problem_for(Schema::Outcome::NotRun, reason, retry_after));
}

/// Refuses what the configuration does not name. An entry that has just started, or cannot read the log, may not know of it yet: then
/// the caller is told to come back.
void CallerApi::refuse_unconfigured(Transport::IngressRequest& exchange, Schema::Reason reason)
{
    if (m_is_configuration_confirmed())
        refuse(exchange, reason, Core::Duration(0));
    else
        refuse(exchange, Schema::Reason::NoInstance, spread(no_instance_retry_after));
}

void CallerApi::handle(std::shared_ptr<Transport::IngressRequest> const& exchange)
{
    m_metrics.count("mountbarrow_entry_requests_total");
    if (m_stop.is_notice_over(Core::monotonic_now())) {
        refuse(*exchange, Schema::Reason::Stopping, spread(stopping_retry_after));
        return;
    }
    auto const service = service_of(exchange->parsed_target().path);
    auto const spec = m_fold.services().find(service);
    if (spec == m_fold.services().end()) {
        refuse_unconfigured(*exchange, Schema::Reason::NoSuchService);
        return;
    }
    auto request = read_request(*exchange, service, spec->second, m_settings.limits);
    if (!request.has_value()) {
        refuse(*exchange, request.error(), Core::Duration(0));
        return;
    }
    auto const now = Core::monotonic_now();
    m_demand.on_request_offered(request->dispatch.customer);
    if (auto refusal = m_limits.start(request->dispatch.customer, now)) {
        if (refusal->reason == Schema::Reason::NoSuchCustomer && !m_is_configuration_confirmed())
            refuse_unconfigured(*exchange, refusal->reason);
        else
            refuse(*exchange, refusal->reason, spread(refusal->retry_after));
        return;
    }
    auto const id = m_next_request++;
    Schema::Header header;
    header.name = "X-Request-Id";
    header.value = m_settings.identity + "-" + std::to_string(m_settings.incarnation) + "-" + std::to_string(id);
    request->dispatch.headers.push_back(std::move(header));
    auto flow = Routing::RequestFlow(request->dispatch.repeatability, now + request->deadline, m_settings.flow, m_budget);
    auto context = std::make_unique<Context>(Context { id, exchange, std::move(*request), std::move(flow), now, now });
    auto& placed = *context;
    m_contexts[id] = std::move(context);
    exchange->on_gone([this, id] {
        if (auto* gone = find(id)) {
            m_metrics.count("mountbarrow_entry_callers_gone_total");
            perform(*gone, gone->flow.on_caller_gone());
        }
    });
    perform(placed, placed.flow.start());
}

CallerApi::Context* CallerApi::find(uint64_t id)
{
    auto found = m_contexts.find(id);
    return found == m_contexts.end() ? nullptr : found->second.get();
}

CallerApi::Context* CallerApi::find_attempt(std::string const& attempt)
{
    auto found = m_by_attempt.find(attempt);
    if (found == m_by_attempt.end()) {
        m_metrics.count("mountbarrow_entry_late_parts_total");
        return nullptr;
    }
    return find(found->second);
}

void CallerApi::perform(Context& context, Routing::FlowActions actions)
{
    // An action may lead to more, which follow behind those already due.
    for (size_t i = 0; i < actions.size(); ++i) {
        Routing::FlowActions more;
        perform_one(context, Routing::FlowAction(actions[i]), more);
        actions.insert(actions.end(), more.begin(), more.end());
    }
    if (context.flow.is_over())
        end(context);
}

void CallerApi::perform_one(Context& context, Routing::FlowAction const& action, Routing::FlowActions& more)
{
    Schema::Message message;
    if (std::holds_alternative<Routing::NeedInstance>(action)) {
        more = find_instance(context);
    } else if (auto const* part = std::get_if<Routing::Deliver>(&action)) {
        deliver(context, part->part, more);
    } else if (std::holds_alternative<Routing::EndAnswer>(action)) {
        m_metrics.count("mountbarrow_entry_answered_total");
        m_metrics.observe_ms("mountbarrow_entry_answer_ms", static_cast<double>((Core::monotonic_now() - context.started).count()));
        context.exchange->end();
    } else if (auto const* broken = std::get_if<Routing::AbortAnswer>(&action)) {
        m_metrics.count("mountbarrow_entry_broken_off_total", label(broken->reason));
        context.exchange->abort();
    } else if (auto const* give_up_action = std::get_if<Routing::AnswerWithError>(&action)) {
        give_up(context, *give_up_action);
    } else if (auto const* over = std::get_if<Routing::AttemptOver>(&action)) {
        attempt_over(context, *over);
    } else if (auto const* cancel = std::get_if<Routing::SendCancel>(&action)) {
        message.cancel.emplace();
        message.cancel->attempt = cancel->attempt;
        m_hub.send(cancel->instance, message);
    } else if (auto const* resume = std::get_if<Routing::SendResume>(&action)) {
        m_metrics.count("mountbarrow_entry_resumed_total");
        message.resume.emplace();
        message.resume->attempt = resume->attempt;
        message.resume->next_sequence = resume->next_sequence;
        m_hub.send(resume->instance, message);
    } else if (auto const* acknowledge = std::get_if<Routing::SendAcknowledge>(&action)) {
        message.acknowledge.emplace();
        message.acknowledge->attempt = acknowledge->attempt;
        message.acknowledge->next_sequence = acknowledge->next_sequence;
        m_hub.send(acknowledge->instance, message);
    }
}

void CallerApi::deliver(Context& context, Schema::Part const& part, Routing::FlowActions& more)
{
    if (!context.has_first_byte) {
        context.has_first_byte = true;
        m_metrics.observe_ms("mountbarrow_entry_first_byte_ms", static_cast<double>((Core::monotonic_now() - context.started).count()));
    }
    if (part.status) {
        Transport::HttpHeaders headers;
        if (part.headers) {
            for (auto const& header : *part.headers)
                headers.emplace_back(header.name, header.value);
        }
        context.exchange->start(static_cast<int>(*part.status), headers, {});
    }
    context.exchange->part(part.data);
    if (context.exchange->pending_bytes() <= most_unread_bytes)
        return;
    m_metrics.count("mountbarrow_entry_slow_callers_total");
    context.exchange->abort();
    more = context.flow.on_caller_gone();
}

void CallerApi::give_up(Context& context, Routing::AnswerWithError const& action)
{
    char const* name = action.outcome == Schema::Outcome::NotRun ? "mountbarrow_entry_refused_total" : "mountbarrow_entry_unknown_total";
    m_metrics.count(name, label(action.reason));
    Core::log_event(Core::LogLevel::Info, "request_given_up",
        { { "request", std::to_string(context.id) }, { "attempt", context.flow.attempt() }, { "outcome", Schema::enumerator_name(action.outcome) }, { "reason", Schema::enumerator_name(action.reason) } });
    auto const retry_after = action.retry_after.count() > 0 ? spread(action.retry_after) : Core::Duration(0);
    reply_problem(*context.exchange, problem_for(action.outcome, action.reason, retry_after));
}

void CallerApi::attempt_over(Context& context, Routing::AttemptOver const& over)
{
    auto const now = Core::monotonic_now();
    m_table.on_finished(over.instance, over.outcome, now);
    if (over.outcome == Routing::InstanceOutcome::Neutral)
        m_table.on_refused(over.instance, over.reason);
    m_by_attempt.erase(context.flow.attempt());
    if (over.is_retried)
        m_metrics.count("mountbarrow_entry_retries_total", label(over.reason));
    if (over.outcome != Routing::InstanceOutcome::Neutral)
        queue_of(context.request.needs.service).on_completed(now, now - context.dispatched);
    m_loop.soon([this, service = context.request.needs.service] { serve_queue(service); });
}

tl::expected<std::string, Schema::Reason> CallerApi::choose(Context const& context)
{
    auto needs = context.request.needs;
    needs.excluded = context.flow.excluded();
    if (context.request.dispatch.key) {
        needs.required_instance = Membership::owner_of_key(*context.request.dispatch.key, m_list.live_agents(needs.service));
        needs.excluded.clear();
    }
    auto const now = Core::monotonic_now();
    auto chosen = m_table.choose(needs, now);
    if (chosen.has_value() || needs.excluded.empty())
        return chosen;
    // Better one that was tried before than none at all.
    needs.excluded.clear();
    return m_table.choose(needs, now);
}

Routing::FlowActions CallerApi::find_instance(Context& context)
{
    if (is_too_late_to_send(context))
        return context.flow.on_no_instance(Schema::Reason::Stopping, stopping_retry_after);
    auto const chosen = choose(context);
    if (chosen.has_value())
        return dispatch_to(context, *chosen);
    if (chosen.error() == Schema::Reason::InstanceBusy)
        return wait_in_queue(context);
    bool const is_version_missing = context.request.needs.model && m_table.has_service(context.request.needs.service);
    auto const reason = is_version_missing ? Schema::Reason::VersionNotReady : Schema::Reason::NoInstance;
    return context.flow.on_no_instance(reason, no_instance_retry_after);
}

Routing::RequestQueue& CallerApi::queue_of(std::string const& service)
{
    auto found = m_queues.find(service);
    if (found == m_queues.end())
        found = m_queues.emplace(service, Routing::RequestQueue(default_queue_limit)).first;
    return found->second;
}

bool CallerApi::is_too_late_to_send(Context const& context) const
{
    bool const is_unsent = context.flow.is_choosing() && !context.flow.may_have_run();
    return is_unsent && !m_stop.may_send(context.flow.deadline(), Core::monotonic_now());
}

void CallerApi::give_up_unfinished()
{
    for (auto id : request_ids()) {
        if (auto* context = find(id))
            perform(*context, context->flow.on_shutdown());
    }
}

std::vector<uint64_t> CallerApi::request_ids() const
{
    std::vector<uint64_t> ids;
    for (auto const& [id, context] : m_contexts)
        ids.push_back(id);
    return ids;
}

Routing::FlowActions CallerApi::wait_in_queue(Context& context)
{
    auto const& dispatch = context.request.dispatch;
    auto& queue = queue_of(context.request.needs.service);
    auto const priority = static_cast<int>(dispatch.priority);
    auto const result = queue.push(context.id, dispatch.customer, priority, context.flow.deadline(), Core::monotonic_now());
    if (result == Routing::RequestQueue::PushResult::Queued) {
        context.is_queued = true;
        return {};
    }
    auto const reason = result == Routing::RequestQueue::PushResult::Full ? Schema::Reason::QueueFull : Schema::Reason::DeadlineTooNear;
    return context.flow.on_no_instance(reason, std::max(least_queue_retry_after, queue.expected_wait(priority)));
}

Routing::FlowActions CallerApi::dispatch_to(Context& context, std::string const& instance)
{
    auto const now = Core::monotonic_now();
    Schema::Message message;
    message.dispatch = context.request.dispatch;
    auto& dispatch = *message.dispatch;
    dispatch.attempt = m_settings.identity + "-" + std::to_string(m_settings.incarnation) + "-a" + std::to_string(m_next_attempt++);
    dispatch.deadline_ms = (context.flow.deadline() - now).count();
    if (context.request.needs.model) {
        auto const serving = m_table.serving(instance);
        dispatch.model = *context.request.needs.model;
        if (serving)
            dispatch.version = serving->version;
    }
    auto const* peer = m_hub.peer(instance);
    if (!peer || !m_hub.send(instance, message))
        return context.flow.on_not_dispatched(instance);
    m_by_attempt[dispatch.attempt] = context.id;
    m_table.on_started(instance);
    context.dispatched = now;
    context.flow.on_dispatched(instance, peer->incarnation, dispatch.attempt, now);
    return {};
}

void CallerApi::serve_queue(std::string const& service)
{
    auto& queue = queue_of(service);
    queue.offer([this, &service](uint64_t id) {
        auto* context = find(id);
        if (!context)
            return true;
        auto const chosen = choose(*context);
        bool const must_wait = !chosen.has_value() && chosen.error() == Schema::Reason::InstanceBusy;
        if (must_wait)
            return false;
        context->is_queued = false;
        // One that waited too long to end in time would only take the place of one that can.
        bool const is_too_late = Core::monotonic_now() + queue_of(service).expected_service() >= context->flow.deadline();
        if (is_too_late)
            perform(*context, context->flow.on_no_instance(Schema::Reason::DeadlineTooNear, least_queue_retry_after));
        else
            perform(*context, find_instance(*context));
        return true;
    });
}

void CallerApi::end(Context& context)
{
    m_limits.finish(context.request.dispatch.customer);
    if (context.is_queued)
        queue_of(context.request.needs.service).remove(context.id);
    m_by_attempt.erase(context.flow.attempt());
    // The context may be in the middle of its own callback.
    auto node = m_contexts.extract(context.id);
    if (!node.empty())
        m_loop.soon([keep = std::shared_ptr<Context>(std::move(node.mapped()))] {});
}

void CallerApi::update()
{
    std::set<std::string> listed;
    for (auto const& instance : m_list.members().instances) {
        if (instance.role != Schema::Role::Agent)
            continue;
        listed.insert(instance.id);
        m_table.set_listed(instance.id, instance.service, instance.state == Schema::InstanceState::Leaving);
    }
    for (auto const& id : m_listed) {
        if (!listed.contains(id))
            m_table.remove(id);
    }
    m_listed = std::move(listed);
    m_limits.set_customers(m_fold.customers());
    for (auto const& [customer, spec] : m_fold.customers())
        m_limits.set_share(customer, m_demand.share(customer, m_list.live_entries().size(), Core::monotonic_now()));
    for (auto const& [name, spec] : m_fold.services())
        queue_of(name).set_limit(static_cast<size_t>(spec.queue_limit.value_or(default_queue_limit)));
}

void CallerApi::on_link_up(Schema::Hello const& hello)
{
    m_table.on_link_up(hello.identity);
    for (auto id : request_ids()) {
        if (auto* context = find(id))
            perform(*context, context->flow.on_link_up(hello.identity, hello.incarnation));
    }
}

void CallerApi::on_link_down(std::string const& agent)
{
    m_table.on_link_down(agent);
    for (auto id : request_ids()) {
        if (auto* context = find(id))
            perform(*context, context->flow.on_link_down(agent, Core::monotonic_now()));
    }
}

void CallerApi::on_message(Schema::Hello const& from, Schema::Message const& message)
{
    if (message.report) {
        m_table.on_report(from.identity, *message.report);
        if (auto const* instance = m_list.find(from.identity))
            serve_queue(instance->service);
    } else if (message.demands) {
        for (auto const& said : message.demands->entries)
            m_demand.on_peer_demand(said.entry, said.customers, Core::monotonic_now());
    } else if (message.accepted) {
        if (auto* context = find_attempt(message.accepted->attempt))
            perform(*context, context->flow.on_accepted(message.accepted->attempt));
    } else if (message.refused) {
        auto const& refused = *message.refused;
        if (auto* context = find_attempt(refused.attempt))
            perform(*context, context->flow.on_refused(refused.attempt, refused.reason, Core::Duration(refused.retry_after_ms)));
    } else if (message.broken) {
        if (auto* context = find_attempt(message.broken->attempt))
            perform(*context, context->flow.on_broken(message.broken->attempt, message.broken->reason));
    } else if (message.part) {
        if (auto* context = find_attempt(message.part->attempt))
            perform(*context, context->flow.on_part(*message.part));
    }
}

void CallerApi::tick()
{
    auto const now = Core::monotonic_now();
    for (auto id : request_ids()) {
        auto* context = find(id);
        if (!context)
            continue;
        if (is_too_late_to_send(*context))
            perform(*context, context->flow.on_no_instance(Schema::Reason::Stopping, stopping_retry_after));
        else
            perform(*context, context->flow.on_tick(now));
    }
}

void CallerApi::share_limits()
{
    m_demand.end_interval();
    auto const now = Core::monotonic_now();
    auto const entries = m_list.live_entries().size();
    for (auto const& [customer, spec] : m_fold.customers())
        m_limits.set_share(customer, m_demand.share(customer, entries, now));
}

size_t CallerApi::queued() const
{
    size_t queued = 0;
    for (auto const& [service, queue] : m_queues)
        queued += queue.size();
    return queued;
}

}
