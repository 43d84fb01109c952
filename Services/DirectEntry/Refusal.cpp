// SPDX-License-Identifier: BSD-2-Clause
#include "Refusal.h"

#include <string>

namespace DirectEntry {

char const* refusal_name(Refusal refusal)
{
    switch (refusal) {
    case Refusal::None:
        return "none";
    case Refusal::NoConfiguration:
        return "no_configuration";
    case Refusal::NoRoute:
        return "no_route";
    case Refusal::UnknownKey:
        return "unknown_key";
    case Refusal::StaleConfiguration:
        return "stale_configuration";
    case Refusal::UnreadableConfiguration:
        return "unreadable_configuration";
    case Refusal::NoServer:
        return "no_server";
    case Refusal::NoSlot:
        return "no_place";
    case Refusal::ServersLimited:
        return "servers_limited";
    case Refusal::QueueFull:
        return "queue_full";
    case Refusal::MemoryFull:
        return "memory_full";
    case Refusal::NotRunAnywhere:
        return "not_run_anywhere";
    case Refusal::OutcomeUnknown:
        return "outcome_unknown";
    case Refusal::ServerFailure:
        return "server_failure";
    case Refusal::BrokenOff:
        return "broken_off";
    case Refusal::TerminatesServers:
        return "ends_servers";
    case Refusal::DeadlinePassed:
        return "deadline_passed";
    case Refusal::CallerGone:
        return "caller_gone";
    case Refusal::CallerTooSlow:
        return "caller_too_slow";
    case Refusal::Stopping:
        return "stopping";
    }
    return "";
}

Schema::Problem refusal_problem(Refusal refusal, int status, Schema::Outcome outcome, std::optional<Core::Duration> retry_after)
{
    Schema::Problem problem {};
    problem.type = std::string("urn:mountbarrow:problem:") + refusal_name(refusal);
    problem.status = status;
    problem.outcome = outcome;
    if (refusal == Refusal::TerminatesServers)
        problem.title = "Servers end that run this request: do not send it again.";
    else
        problem.title = outcome == Schema::Outcome::NotRun ? "Refused: the request was not run." : "The request got no answer.";
    if (retry_after)
        problem.retry_after_ms = retry_after->count();
    return problem;
}

}
