// SPDX-License-Identifier: BSD-2-Clause
#pragma once

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

}
