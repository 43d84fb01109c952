// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AttemptPolicy.h>

namespace Routing {

// With less time than this until the deadline, no further attempt is made.
static constexpr Core::Duration least_time_for_a_send { 30 };
// Attempts in which the request was not run may be repeated this many times, in addition to the attempts that the route allows.
static constexpr int64_t most_misses = 3;
// Attempts whose server terminated do not count against the attempts that the route allows. A request that does not itself crash
// servers rarely loses a second server and almost never a third.
static constexpr int64_t most_ended_servers = 3;

char const* send_end_name(SendEnd end)
{
    switch (end) {
    case SendEnd::NotConnected:
        return "not_connected";
    case SendEnd::NotRun:
        return "not_run";
    case SendEnd::ServerFailure:
        return "server_failure";
    case SendEnd::BrokenOff:
        return "broken_off";
    case SendEnd::ServerEnded:
        return "server_ended";
    case SendEnd::Silent:
        return "silent";
    case SendEnd::Outdated:
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

static bool ran_nothing(SendEnd end)
{
    return end == SendEnd::NotConnected || end == SendEnd::NotRun;
}

static bool may_send_again(SendEnd end, AttemptState const& state)
{
    if (state.remaining < least_time_for_a_send || !state.has_budget)
        return false;
    if (ran_nothing(end))
        return state.misses <= most_misses;
    return is_repeatable(state) && state.sends < state.max_attempts && state.ended_servers <= most_ended_servers;
}

NextStep next_step(SendEnd end, AttemptState const& state)
{
    if (may_send_again(end, state)) {
        bool const is_repeat_of_a_run = state.may_have_run || !ran_nothing(end);
        if (!is_repeat_of_a_run || is_repeatable(state))
            return state.has_delivered ? NextStep::Resume : NextStep::SendAgain;
    }
    if (state.has_delivered)
        return NextStep::BreakOff;
    if (end == SendEnd::ServerFailure)
        return NextStep::PassFailure;
    if (ran_nothing(end) && !state.may_have_run)
        return NextStep::RefuseNotRun;
    return NextStep::AnswerUnknown;
}

}
