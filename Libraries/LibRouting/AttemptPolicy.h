// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>

namespace Routing {

/// How one send of a request to a backend server ended without a whole, good answer.
enum class SendEnd {
    /// The connection never stood: not one byte was sent.
    NotConnected,
    /// The backend server said that it did not run it.
    NotRun,
    /// It answered with a failure of its own; the request counts as run.
    ServerFailure,
    /// The answer broke off, was no answer, or belonged to another request.
    BrokenOff,
    /// The backend server ended while it ran the request.
    ServerEnded,
    /// Nothing came for longer than the request can wait.
    Silent,
    /// It had not begun when the version there became too old to begin on.
    Outdated,
};

/// The name of an end in logs and metrics.
char const* send_end_name(SendEnd);

/// What is known of a request when a send has ended.
struct AttemptState {
    Schema::RouteKind kind { Schema::RouteKind::Once };
    bool is_resumable { false };
    /// Part of the answer has gone to the caller.
    bool has_delivered { false };
    /// Some earlier send may have run.
    bool may_have_run { false };
    /// Sends that reached a backend server, this one included.
    int64_t sends { 0 };
    int64_t max_attempts { 1 };
    /// Sends that ended as not run or not connected, this one included.
    int64_t misses { 0 };
    /// Sends to backend servers that ended meanwhile, this one included; `sends` leaves them out.
    int64_t ended_servers { 0 };
    bool has_budget { true };
    Core::Duration remaining { 0 };
};

enum class NextStep {
    /// Send the request to another backend server, from its start.
    SendAgain,
    /// Send it on from the last event that the caller has.
    Resume,
    /// Pass the backend server's own failure on.
    PassFailure,
    /// Tell the caller that it was not run, and when to come back.
    RefuseNotRun,
    /// Tell the caller that the outcome is unknown.
    AnswerUnknown,
    /// Break the answer off, visibly.
    BreakOff,
};

/// True if a second run of the request does no harm.
bool is_repeatable(AttemptState const&);

/// Decides what becomes of a request whose send has ended.
///
/// A request that may not be repeated is sent again only if it is known that nothing ran, and is refused as not run
/// only if no send may have run.
NextStep next_step(SendEnd, AttemptState const&);

}
