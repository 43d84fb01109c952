// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CrashDetector.h"
#include "Refusal.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/RequestHeads.h>
#include <LibRouting/RecentPrompts.h>
#include <LibRouting/ReturningCallers.h>
#include <LibRouting/RouteTable.h>
#include <LibRouting/ServerTable.h>
#include <LibRouting/SharedRetryBudget.h>
#include <LibRouting/SlotWait.h>
#include <LibRouting/StopSchedule.h>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace DirectEntry {

/// The objects and callbacks that all requests of an entry share. The referenced objects outlive the requests.
struct RequestContext {
    Core::EventLoop& loop;
    Core::Metrics& metrics;
    /// Reads and writes the heads of requests and answers as the platform defines them.
    Platform::RequestHeads const& heads;
    /// The backend servers and their load, for the choice of a server.
    Routing::ServerTable& servers;
    /// The retry budget of each service.
    Routing::SharedRetryBudget& retries;
    CrashDetector& crashes;
    std::mt19937_64& random;
    Routing::WaitingPolicy waiting_policy;
    /// Null until a configuration has been read.
    std::shared_ptr<Routing::RouteTable const> routes;
    /// Whether the configuration read here may be out of date, as it was not known to be current for a while.
    std::function<bool()> is_stale;
    /// False after a pause of the process until the facts have been read again, or 3 s have passed without a source for them. No request
    /// is sent meanwhile.
    std::function<bool()> are_facts_current;
    /// The earliest time at which a request that is read now can have arrived: after a pause of the process, the start of the pause.
    std::function<Core::Time()> arrival_time;
    /// The current time by the running-time clock, which leaves out pauses of the process (Core::PauseWatch).
    std::function<Core::Time()> running_time;
    /// The version that an engine of the service must serve by now; std::nullopt while any whole version will do.
    std::function<std::optional<int64_t>(std::string const& service)> required_version;
    /// The newest named version of the service's model; 0 if none is named.
    std::function<int64_t(std::string const& service)> newest_version;
    /// The prompts of the requests that arrived here.
    Routing::RecentPrompts recent_prompts {};
    /// Recognises callers that repeat a request which this or another entry refused.
    Routing::ReturningCallers& returning;
    /// Whether this process stops, and which requests it still sends to a backend server then.
    Routing::StopSchedule const& stop;
    /// The queue of the requests that wait for a slot at the service.
    std::function<Routing::ServiceQueue&(std::string const& service)> service_queue;
    /// Called once for each admitted request for the service.
    std::function<void(std::string const& service)> request_admitted;
    /// Called when a backend server differs repeatedly from its entry in the list.
    std::function<void()> server_list_mismatch;
    /// Called once when the request with this number is over.
    std::function<void(uint64_t number)> request_over;
};

}
