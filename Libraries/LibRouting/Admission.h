// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/IdempotencyKeyOwner.h>
#include <LibRouting/IdempotencyTable.h>
#include <LibSchema/Generated.h>
#include <optional>
#include <string>
#include <variant>

namespace Routing {

/// The request is admitted and may be sent to the backend server.
struct Admit { };

/// The request is refused; this agent has not run it.
struct RefuseNotRun {
    Schema::Reason reason;
};

/// The request is refused because an earlier request with the same idempotency key runs, or may have run, here or at another agent.
struct RefuseMayHaveRun {
    Schema::Reason reason;
};

/// A request with the same idempotency key ran before; its stored answer is sent again.
struct Replay {
    StoredAnswer answer;
};

using AdmissionResult = std::variant<Admit, RefuseNotRun, RefuseMayHaveRun, Replay>;

/// The state of an agent that decides whether it admits a request.
struct AdmissionView {
    bool is_draining { false };
    /// The engine is switching to other weights.
    bool is_switching { false };
    /// The weights that the engine serves; std::nullopt if it serves none.
    std::optional<Schema::Weights> serving;
    /// Requests that the backend server runs, and how many it may run at once.
    size_t in_flight { 0 };
    size_t capacity { 0 };
    Core::Time now { 0 };
    Core::WallTime wall_now { 0 };
};

/// Decides whether a request that an entry dispatched to this agent may be sent to the backend server, at the moment of sending.
///
/// A request whose idempotency key is in the table is answered from the table, even if the agent is draining. An admitted request that
/// has a key is recorded in the table as running before this function returns.
AdmissionResult admit(Schema::Dispatch const&, AdmissionView const&, Membership::IdempotencyKeyOwner const&, IdempotencyTable&);

}
