// SPDX-License-Identifier: BSD-2-Clause
#include "Problems.h"

#include <LibSchema/Json.h>

namespace Entry {

static constexpr char const* type_prefix = "urn:mountbarrow:problem:";

Transport::HttpHeaders problem_headers(Schema::Problem const& problem)
{
    Transport::HttpHeaders headers { { "Content-Type", "application/problem+json" } };
    if (problem.retry_after_ms) {
        // The field counts whole seconds (RFC 9110, section 10.2.3); the exact wait stands in the body.
        auto const seconds = (*problem.retry_after_ms + 999) / 1000;
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return headers;
}

void reply_problem(Transport::IngressRequest& exchange, Schema::Problem const& problem)
{
    exchange.reply(static_cast<int>(problem.status), problem_headers(problem), Schema::to_text(problem));
}

static int status_of(Schema::Outcome outcome, Schema::Reason reason)
{
    switch (reason) {
    case Schema::Reason::NoSuchService:
        return 404;
    case Schema::Reason::NoSuchCustomer:
        return 403;
    case Schema::Reason::Malformed:
    case Schema::Reason::KeyMalformed:
    case Schema::Reason::KeyFromFuture:
        return 400;
    case Schema::Reason::TooLarge:
        return 413;
    case Schema::Reason::OverRate:
    case Schema::Reason::OverConcurrency:
        return 429;
    case Schema::Reason::KeyInProgress:
        return 409;
    case Schema::Reason::DeadlinePassed:
        return 504;
    default:
        return outcome == Schema::Outcome::Unknown ? 502 : 503;
    }
}

static char const* title_of(Schema::Outcome outcome)
{
    switch (outcome) {
    case Schema::Outcome::NotRun:
        return "Refused: the request was not run.";
    case Schema::Outcome::Unknown:
        return "The outcome is unknown: the request may have run.";
    case Schema::Outcome::Rejected:
        return "Rejected.";
    }
    return "";
}

Schema::Problem problem_for(Schema::Outcome outcome, Schema::Reason reason, Core::Duration retry_after)
{
    Schema::Problem problem {};
    problem.type = type_prefix + Schema::enumerator_name(reason);
    problem.title = title_of(outcome);
    problem.status = status_of(outcome, reason);
    problem.outcome = outcome;
    if (retry_after.count() > 0)
        problem.retry_after_ms = retry_after.count();
    return problem;
}

Schema::Problem rejection(int status, std::string const& type, std::string const& title, std::string const& detail)
{
    Schema::Problem problem {};
    problem.type = type_prefix + type;
    problem.title = title;
    problem.status = status;
    problem.outcome = Schema::Outcome::Rejected;
    if (!detail.empty())
        problem.detail = detail;
    return problem;
}

}
