// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>

namespace Routing {

/// How an attempt (one sending of a request to one backend server) ended without a complete, successful answer.
enum class AttemptOutcome {
    /// The connection was not established: no byte was sent.
    NotConnected,
    /// The backend server answered that it did not run the request.
    NotRun,
    /// The backend server answered with an error; the request counts as run.
    ServerFailure,
    /// The answer was cut off, was not a valid answer, or belonged to another request.
    BrokenOff,
    /// The backend server terminated while it ran the request.
    ServerTerminated,
    /// Nothing was received from the backend server for longer than the request can wait.
    Silent,
    /// The answer had not begun when the version of the weights on that backend server became too old to begin an answer with.
    Outdated,
};

/// The name of an outcome in logs and metrics.
char const* attempt_outcome_name(AttemptOutcome);

/// The state of a request at the end of an attempt.
struct AttemptState {
    Schema::RouteKind kind { Schema::RouteKind::Once };
    bool is_resumable { false };
    /// Part of the answer was sent to the caller.
    bool has_delivered { false };
    /// A backend server may have run the request in an earlier attempt.
    bool may_have_run { false };
    /// Attempts that count against `max_attempts`, this one included: those that reached a backend server, except those in which it did
    /// not run the request or terminated.
    int64_t attempts { 0 };
    int64_t max_attempts { 1 };
    /// Attempts that ended as NotRun or NotConnected, this one included.
    int64_t attempts_not_run { 0 };
    /// Attempts whose backend server terminated while it ran the request, this one included.
    int64_t terminated_servers { 0 };
    /// The retry budget allows another attempt.
    bool has_budget { true };
    /// Time until the request's deadline.
    Core::Duration remaining { 0 };
};

enum class NextStep {
    /// Send the request to another backend server, from its start.
    RetryFromStart,
    /// Send it to another backend server, which resumes the stream after the last event that the caller has received.
    Resume,
    /// Forward the backend server's error to the caller.
    ForwardFailure,
    /// Answer that the request was not run, and when the caller may retry.
    RefuseNotRun,
    /// Answer that it is unknown whether the request ran.
    ReportUnknown,
    /// Abort the answer in such a way that the caller notices that it is incomplete.
    AbortAnswer,
};

/// Whether the request may safely run more than once: it is declared repeatable, or is a stream that can be resumed.
bool is_repeatable(AttemptState const&);

/// Decides what to do with a request after an attempt has ended.
///
/// A request that is not repeatable is sent again only if no backend server can have run it. It is refused as not run only if
/// no backend server can have run it in any attempt.
NextStep next_step(AttemptOutcome, AttemptState const&);

}
