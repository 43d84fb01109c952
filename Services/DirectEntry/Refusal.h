// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <optional>

namespace DirectEntry {

/// When callers should try again if this entry cannot serve for now, but others may.
inline constexpr Core::Duration retry_after_when_unready { 300 };

/// Why a request ended without a complete answer; None if it was answered. Each reason is counted in a metric and logged.
enum class Refusal {
    None,
    NoConfiguration,
    NoRoute,
    UnknownKey,
    StaleConfiguration,
    /// The part of the configuration that describes the route or the customers could not be read.
    UnreadableConfiguration,
    /// No backend server of the service can serve.
    NoServer,
    /// No slot at a backend server became free, or none is expected in time.
    NoSlot,
    /// The backend servers accept no more requests than others send, by the limits that they state.
    ServersLimited,
    QueueFull,
    /// The requests of all callers together take as much memory as is allowed, and this one was not whole.
    MemoryFull,
    /// All attempts failed before a backend server ran the request.
    NotRunAnywhere,
    /// The request may have run, and no answer can be given.
    OutcomeUnknown,
    ServerFailure,
    /// The answer broke off after part of it was delivered, and cannot be resumed.
    BrokenOff,
    /// The request is blamed: backend servers kept terminating while they ran it.
    TerminatesServers,
    DeadlinePassed,
    CallerGone,
    CallerTooSlow,
    /// This process is about to exit.
    Stopping,
};

/// The reason's name in metrics, logs and problem types.
char const* refusal_name(Refusal);

/// The problem document that is the body of a refusing answer.
/// @param retry_after when the caller should try again; std::nullopt to name no time.
Schema::Problem refusal_problem(Refusal, int status, Schema::Outcome, std::optional<Core::Duration> retry_after);

}
