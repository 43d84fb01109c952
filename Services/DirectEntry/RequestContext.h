// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/RequestHeads.h>
#include <LibRouting/RequestQueue.h>
#include <LibRouting/RetryShare.h>
#include <LibRouting/RouteTable.h>
#include <LibRouting/ServerTable.h>
#include <functional>
#include <map>
#include <memory>
#include <random>

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
    DeadlinePassed,
    CallerGone,
    CallerTooSlow,
    Stopping,
};

char const* refusal_name(Refusal);

/// What all requests of an entry share.
struct RequestContext {
    Core::EventLoop& loop;
    Core::Metrics& metrics;
    Platform::RequestHeads const& heads;
    Routing::ServerTable& servers;
    Routing::RetryShare& retries;
    std::mt19937_64& random;
    /// Null until a configuration was read.
    std::shared_ptr<Routing::RouteTable const> routes;
    /// True while what is believed of the configuration may be behind what is in force.
    std::function<bool()> is_stale;
    /// The version that an engine of the service must serve by now, if any.
    std::function<std::optional<int64_t>(std::string const& service)> required_version;
    /// The newest version that is named of the model of a service; 0 if none is.
    std::function<int64_t(std::string const& service)> newest_version;
    /// The queue of a service.
    std::function<Routing::RequestQueue&(std::string const& service)> queue;
    /// A caller asked for something of the service.
    std::function<void(std::string const& service)> asked;
    /// A backend server was not what the list says, and not for the first time.
    std::function<void()> list_doubted;
    std::function<void(uint64_t number)> over;
};

}
