// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RequestFlow.h>

namespace Routing {

static constexpr Core::Duration unknown_retry_after { 1000 };
static constexpr Core::Duration not_run_retry_after { 500 };
static constexpr int64_t first_server_error = 500;

RequestFlow::RequestFlow(Schema::Repeatability repeatability, Core::Time deadline, FlowSettings settings, RetryBudget& budget)
    : m_repeatability(repeatability)
    , m_deadline(deadline)
    , m_settings(settings)
    , m_budget(budget)
{
}

FlowActions RequestFlow::start()
{
    m_budget.on_request();
    return { NeedInstance {} };
}

bool RequestFlow::is_current(std::string const& attempt) const
{
    bool const has_attempt = m_phase == Phase::Dispatched || m_phase == Phase::LinkDown;
    return has_attempt && attempt == m_attempt;
}

bool RequestFlow::may_repeat() const
{
    return m_repeatability == Schema::Repeatability::Repeatable && !m_has_delivered;
}

void RequestFlow::on_dispatched(std::string const& instance, int64_t incarnation, std::string const& attempt, Core::Time now)
{
    m_phase = Phase::Dispatched;
    m_instance = instance;
    m_incarnation = incarnation;
    m_attempt = attempt;
    m_attempts += 1;
    m_is_accepted = false;
    m_dispatched_at = now;
    m_acknowledged = 0;
    m_has_server_error = false;
    m_assembly = {};
}

FlowAction RequestFlow::failure_action(Schema::Reason reason) const
{
    if (m_has_delivered)
        return AbortAnswer { reason };
    return AnswerWithError { Schema::Outcome::Unknown, reason, unknown_retry_after };
}

FlowActions RequestFlow::end_with(FlowAction last, std::optional<InstanceOutcome> outcome, Schema::Reason reason)
{
    FlowActions actions;
    if (outcome)
        actions.push_back(AttemptOver { m_instance, *outcome, reason, false });
    actions.push_back(std::move(last));
    m_phase = Phase::Over;
    return actions;
}

FlowActions RequestFlow::retry_or_end_with(Schema::Reason reason, InstanceOutcome outcome, FlowAction final_action, bool is_charged_to_budget)
{
    if (m_attempts >= m_settings.max_attempts || (is_charged_to_budget && !m_budget.try_acquire()))
        return end_with(std::move(final_action), outcome, reason);
    FlowActions actions;
    actions.push_back(AttemptOver { m_instance, outcome, reason, true });
    actions.push_back(NeedInstance {});
    m_excluded.insert(m_instance);
    m_phase = Phase::Choosing;
    return actions;
}

FlowActions RequestFlow::on_not_dispatched(std::string const& instance)
{
    m_instance = instance;
    m_attempts += 1;
    auto final_action = m_may_have_run ? failure_action(Schema::Reason::LinkLost) : FlowAction(AnswerWithError { Schema::Outcome::NotRun, Schema::Reason::LinkLost, not_run_retry_after });
    if (m_attempts >= m_settings.max_attempts) {
        m_phase = Phase::Over;
        return { final_action };
    }
    m_excluded.insert(instance);
    return { NeedInstance {} };
}

FlowActions RequestFlow::on_no_instance(Schema::Reason reason, Core::Duration retry_after)
{
    if (m_phase != Phase::Choosing)
        return {};
    m_phase = Phase::Over;
    auto const outcome = m_may_have_run ? Schema::Outcome::Unknown : Schema::Outcome::NotRun;
    return { AnswerWithError { outcome, reason, retry_after } };
}

FlowActions RequestFlow::on_accepted(std::string const& attempt)
{
    if (is_current(attempt))
        m_is_accepted = true;
    return {};
}

static bool should_retry_elsewhere(Schema::Reason reason)
{
    switch (reason) {
    case Schema::Reason::Draining:
    case Schema::Reason::VersionNotReady:
    case Schema::Reason::InstanceBusy:
    case Schema::Reason::NotHome:
    case Schema::Reason::ConnectFailed:
    case Schema::Reason::LinkLost:
        return true;
    default:
        return false;
    }
}

FlowActions RequestFlow::on_refused(std::string const& attempt, Schema::Reason reason, Core::Duration retry_after)
{
    if (!is_current(attempt))
        return {};
    auto const outcome = reason == Schema::Reason::ConnectFailed ? InstanceOutcome::Failure : InstanceOutcome::Neutral;
    auto const known = m_may_have_run ? Schema::Outcome::Unknown : Schema::Outcome::NotRun;
    auto refusal_action = AnswerWithError { known, reason, std::max(retry_after, not_run_retry_after) };
    if (!should_retry_elsewhere(reason))
        return end_with(refusal_action, outcome, reason);
    // A refusal costs the instance almost nothing, so the retry is not charged to the budget.
    bool const is_charged_to_budget = reason == Schema::Reason::ConnectFailed;
    return retry_or_end_with(reason, outcome, refusal_action, is_charged_to_budget);
}

FlowActions RequestFlow::fail_attempt(Schema::Reason reason, InstanceOutcome outcome)
{
    m_may_have_run = true;
    if (may_repeat())
        return retry_or_end_with(reason, outcome, failure_action(reason), true);
    return end_with(failure_action(reason), outcome, reason);
}

static bool counts_against_instance(Schema::Reason reason)
{
    return reason == Schema::Reason::BackendBrokeOff || reason == Schema::Reason::BackendTimeout;
}

FlowActions RequestFlow::on_broken(std::string const& attempt, Schema::Reason reason)
{
    if (!is_current(attempt))
        return {};
    auto const outcome = counts_against_instance(reason) ? InstanceOutcome::Failure : InstanceOutcome::Neutral;
    return fail_attempt(reason, outcome);
}

FlowActions RequestFlow::on_part(Schema::Part part)
{
    if (!is_current(part.attempt))
        return {};
    m_is_accepted = true;
    FlowActions actions;
    if (m_assembly.add(std::move(part)) == AnswerAssembly::PartResult::Invalid) {
        actions.push_back(SendCancel { m_instance, m_attempt });
        auto rest = fail_attempt(Schema::Reason::AnswerIncomplete, InstanceOutcome::Failure);
        actions.insert(actions.end(), rest.begin(), rest.end());
        return actions;
    }
    for (auto& ready : m_assembly.take_ready()) {
        m_has_delivered = true;
        if (ready.status.value_or(0) >= first_server_error)
            m_has_server_error = true;
        actions.push_back(Deliver { std::move(ready) });
    }
    bool const is_whole = m_assembly.is_whole();
    if (is_whole || m_assembly.next_sequence() >= m_acknowledged + m_settings.parts_per_acknowledgement) {
        m_acknowledged = m_assembly.next_sequence();
        actions.push_back(SendAcknowledge { m_instance, m_attempt, m_acknowledged });
    }
    if (!is_whole)
        return actions;
    auto const outcome = m_has_server_error ? InstanceOutcome::Failure : InstanceOutcome::Success;
    auto rest = end_with(EndAnswer {}, outcome, Schema::Reason::None);
    actions.insert(actions.end(), rest.begin(), rest.end());
    return actions;
}

FlowActions RequestFlow::on_link_down(std::string const& instance, Core::Time now)
{
    if (m_phase != Phase::Dispatched || instance != m_instance)
        return {};
    if (may_repeat())
        return fail_attempt(Schema::Reason::LinkLost, InstanceOutcome::Failure);
    m_phase = Phase::LinkDown;
    m_link_down_at = now;
    return {};
}

FlowActions RequestFlow::on_link_up(std::string const& instance, int64_t incarnation)
{
    if (m_phase != Phase::LinkDown || instance != m_instance)
        return {};
    if (incarnation != m_incarnation)
        return fail_attempt(Schema::Reason::InstanceLost, InstanceOutcome::Failure);
    m_phase = Phase::Dispatched;
    return { SendResume { m_instance, m_attempt, m_assembly.next_sequence() } };
}

FlowActions RequestFlow::on_caller_gone()
{
    if (m_phase == Phase::Over)
        return {};
    FlowActions actions;
    if (m_phase != Phase::Choosing) {
        actions.push_back(SendCancel { m_instance, m_attempt });
        actions.push_back(AttemptOver { m_instance, InstanceOutcome::Neutral, Schema::Reason::CallerGone, false });
    }
    m_phase = Phase::Over;
    return actions;
}

FlowActions RequestFlow::give_up(Schema::Reason reason, InstanceOutcome outcome)
{
    if (m_phase == Phase::Choosing)
        return on_no_instance(reason, not_run_retry_after);
    FlowActions actions { SendCancel { m_instance, m_attempt } };
    m_may_have_run = true;
    auto rest = end_with(failure_action(reason), outcome, reason);
    actions.insert(actions.end(), rest.begin(), rest.end());
    return actions;
}

FlowActions RequestFlow::on_shutdown()
{
    if (m_phase == Phase::Over)
        return {};
    return give_up(Schema::Reason::Stopping, InstanceOutcome::Neutral);
}

FlowActions RequestFlow::on_tick(Core::Time now)
{
    if (m_phase == Phase::Over)
        return {};
    if (now >= m_deadline)
        return give_up(Schema::Reason::DeadlinePassed, InstanceOutcome::Failure);
    if (m_phase == Phase::LinkDown && now >= m_link_down_at + m_settings.resume_timeout)
        return fail_attempt(Schema::Reason::LinkLost, InstanceOutcome::Failure);
    bool const is_silent = m_phase == Phase::Dispatched && !m_is_accepted && now >= m_dispatched_at + m_settings.accept_timeout;
    if (is_silent && may_repeat()) {
        FlowActions actions { SendCancel { m_instance, m_attempt } };
        auto rest = fail_attempt(Schema::Reason::InstanceLost, InstanceOutcome::Failure);
        actions.insert(actions.end(), rest.begin(), rest.end());
        return actions;
    }
    return {};
}

}
