// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AttemptPolicy.h>

namespace Routing {

// With less time than this until the deadline, no further attempt is made.
static constexpr Core::Duration min_remaining_for_attempt { 30 };
// Attempts in which the request was not run may be repeated this many times, in addition to the attempts that the route allows.
static constexpr int64_t max_attempts_not_run = 3;
// Attempts whose server terminated do not count against the attempts that the route allows. A request that does not itself crash
// servers rarely loses a second server and almost never a third.
static constexpr int64_t max_terminated_servers = 3;

char const* attempt_outcome_name(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::NotConnected:
        return "not_connected";
    case AttemptOutcome::NotRun:
        return "not_run";
    case AttemptOutcome::ServerFailure:
        return "server_failure";
    case AttemptOutcome::BrokenOff:
        return "broken_off";
    case AttemptOutcome::ServerTerminated:
        return "server_ended";
    case AttemptOutcome::Silent:
        return "silent";
    case AttemptOutcome::Outdated:
        return "outdated";
    }
    return "";
}

bool is_repeatable(AttemptState const& state)
{
    if (state.kind == Schema::RouteKind::Repeatable)
        return true;
    return state.kind == Schema::RouteKind::Stream && state.is_resumable;
}

static bool cannot_have_run(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotConnected || outcome == AttemptOutcome::NotRun;
}

static bool can_retry(AttemptOutcome outcome, AttemptState const& state)
{
    if (state.remaining < min_remaining_for_attempt || !state.has_budget)
        return false;
    if (cannot_have_run(outcome))
        return state.attempts_not_run <= max_attempts_not_run;
    return is_repeatable(state) && state.attempts < state.max_attempts && state.terminated_servers <= max_terminated_servers;
}

NextStep next_step(AttemptOutcome outcome, AttemptState const& state)
{
    if (can_retry(outcome, state)) {
        bool const would_repeat_a_run = state.may_have_run || !cannot_have_run(outcome);
        if (!would_repeat_a_run || is_repeatable(state))
            return state.has_delivered ? NextStep::Resume : NextStep::RetryFromStart;
    }
    if (state.has_delivered)
        return NextStep::AbortAnswer;
    if (outcome == AttemptOutcome::ServerFailure)
        return NextStep::ForwardFailure;
    if (cannot_have_run(outcome) && !state.may_have_run)
        return NextStep::RefuseNotRun;
    return NextStep::ReportUnknown;
}

}
