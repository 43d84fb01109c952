// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <optional>

namespace DirectEntry {

/// Why a request ended as it did. Each has a counter and stands in the log.
enum class Refusal {
    None,
    NoConfiguration,
    NoRoute,
    UnknownKey,
    StaleConfiguration,
    /// What the configuration says of the route or of the customers could not be read.
    UnreadableConfiguration,
    NoServer,
    NoPlace,
    QueueFull,
    NotRunAnywhere,
    OutcomeUnknown,
    ServerFailure,
    BrokenOff,
    /// Servers end that run it.
    EndsServers,
    DeadlinePassed,
    CallerGone,
    CallerTooSlow,
    Stopping,
};

char const* refusal_name(Refusal);

/// The body of an answer that refuses a request.
Schema::Problem refusal_problem(Refusal, int status, Schema::Outcome, std::optional<Core::Duration> retry_after);

}
