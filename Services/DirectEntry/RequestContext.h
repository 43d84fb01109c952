// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CrashWatch.h"
#include "Refusal.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/RequestHeads.h>
#include <LibRouting/PlaceWait.h>
#include <LibRouting/ReturningCallers.h>
#include <LibRouting/RouteTable.h>
#include <LibRouting/ServerTable.h>
#include <LibRouting/SharedRetryBudget.h>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace DirectEntry {

/// What all requests of an entry share.
struct RequestContext {
    Core::EventLoop& loop;
    Core::Metrics& metrics;
    Platform::RequestHeads const& heads;
    Routing::ServerTable& servers;
    Routing::SharedRetryBudget& retries;
    CrashWatch& crashes;
    std::mt19937_64& random;
    Routing::WaitingPolicy waiting;
    /// Null until a configuration was read.
    std::shared_ptr<Routing::RouteTable const> routes;
    /// True while what is believed of the configuration may be behind what is in force.
    std::function<bool()> is_stale;
    /// False from a pause of the process until all was heard anew: nothing is sent meanwhile.
    std::function<bool()> is_awake;
    /// The earliest time at which a request can have come that is read now.
    std::function<Core::Time()> arrival;
    /// Now, by a clock that does not count the time in which the process stood still.
    std::function<Core::Time()> running_time;
    /// The version that an engine of the service must serve by now, if any.
    std::function<std::optional<int64_t>(std::string const& service)> required_version;
    /// The newest version that is named of the model of a service; 0 if none is.
    std::function<int64_t(std::string const& service)> newest_version;
    Routing::ReturningCallers& returning;
    /// Those that wait for a service.
    std::function<Routing::ServiceLine&(std::string const& service)> line;
    /// A caller asked for something of the service.
    std::function<void(std::string const& service)> asked;
    /// A backend server was not what the list says, and not for the first time.
    std::function<void()> list_doubted;
    std::function<void(uint64_t number)> over;
};

}
