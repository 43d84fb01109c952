// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/IdempotencyKeyOwner.h>
#include <LibRouting/OnceTable.h>
#include <LibSchema/Generated.h>
#include <optional>
#include <string>
#include <variant>

namespace Routing {

/// The request was admitted and may go to the backend server.
struct Admit { };

/// It was not run by this agent.
struct RefuseNotRun {
    Schema::Reason reason;
};

/// It may have run before, here or elsewhere, and is not run now.
struct RefuseUnknown {
    Schema::Reason reason;
};

/// It ran before; this was the answer.
struct Replay {
    KeptAnswer answer;
};

using AdmissionResult = std::variant<Admit, RefuseNotRun, RefuseUnknown, Replay>;

/// What an agent looks at before it lets a request through.
struct AdmissionView {
    bool is_draining { false };
    bool is_switching { false };
    std::optional<Schema::Weights> serving;
    size_t in_flight { 0 };
    size_t capacity { 0 };
    Core::Time now { 0 };
    Core::WallTime wall_now { 0 };
};

/// Decides about a dispatch at the moment when it would go to the backend server. A key that is admitted is noted first.
AdmissionResult admit(Schema::Dispatch const&, AdmissionView const&, Membership::IdempotencyKeyOwner const&, OnceTable&);

}
