// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CallerRequest.h"
#include <LibConfiguration/ReplayedState.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibMembership/InstanceList.h>
#include <LibRouting/DemandShares.h>
#include <LibRouting/InstanceTable.h>
#include <LibRouting/Limits.h>
#include <LibRouting/RequestFlow.h>
#include <LibRouting/RequestQueue.h>
#include <LibRouting/StopSchedule.h>
#include <LibTransport/IngressServer.h>
#include <LibTransport/LinkHub.h>
#include <map>
#include <memory>

namespace Entry {

struct CallerApiSettings {
    std::string identity;
    int64_t incarnation { 0 };
    CallerLimits limits;
    double retry_ratio { 0.1 };
    Routing::FlowSettings flow;
    Routing::InstanceTableSettings table;
    uint64_t seed { 0 };
};

/// Carries callers' requests to agents and the answers back. What to do is decided by RequestFlow and the tables.
class CallerApi {
public:
    /// Whether the configuration is all that is on the log, as read a moment ago.
    using IsConfirmed = std::function<bool()>;

    CallerApi(Core::EventLoop&, CallerApiSettings, Core::Metrics&, Transport::LinkHub&, Membership::InstanceList const&, Configuration::ReplayedState const&, Routing::StopSchedule const&, IsConfirmed);
    ~CallerApi();

    void handle(std::shared_ptr<Transport::IngressRequest> const&);

    /// The configuration or the list changed.
    void update();
    void on_message(Schema::Hello const& from, Schema::Message const&);
    void on_link_up(Schema::Hello const&);
    void on_link_down(std::string const& agent);

    /// The process is about to end: answers all requests that are not answered yet.
    void give_up_unfinished();
    size_t in_flight() const { return m_contexts.size(); }
    /// What customers ask of this entry, for the agents that pass it on to the others.
    std::vector<Schema::Demand> own_demand() const { return m_demand.local_demand(); }
    size_t queued() const;
    Routing::InstanceTable const& table() const { return m_table; }

private:
    struct Context {
        uint64_t id { 0 };
        std::shared_ptr<Transport::IngressRequest> exchange;
        CallerRequest request;
        Routing::RequestFlow flow;
        Core::Time started { 0 };
        Core::Time dispatched { 0 };
        bool is_queued { false };
        bool has_first_byte { false };
    };

    void refuse(Transport::IngressRequest&, Schema::Reason, Core::Duration retry_after);
    void refuse_unconfigured(Transport::IngressRequest&, Schema::Reason);
    void perform(Context&, Routing::FlowActions);
    void perform_one(Context&, Routing::FlowAction const&, Routing::FlowActions& more);
    void deliver(Context&, Schema::Part const&, Routing::FlowActions& more);
    void give_up(Context&, Routing::AnswerWithError const&);
    void attempt_over(Context&, Routing::AttemptOver const&);
    Routing::FlowActions find_instance(Context&);
    Routing::FlowActions wait_in_queue(Context&);
    Routing::FlowActions dispatch_to(Context&, std::string const& instance);
    tl::expected<std::string, Schema::Reason> choose(Context const&);
    Routing::RequestQueue& queue_of(std::string const& service);
    void serve_queue(std::string const& service);
    /// Whether the request has run nowhere and would still be unfinished when this process ends.
    bool is_too_late_to_send(Context const&) const;
    std::vector<uint64_t> request_ids() const;
    void end(Context&);
    Context* find(uint64_t id);
    Context* find_attempt(std::string const& attempt);
    void tick();
    void share_limits();
    Core::Duration spread(Core::Duration);

    Core::EventLoop& m_loop;
    CallerApiSettings m_settings;
    Core::Metrics& m_metrics;
    Transport::LinkHub& m_hub;
    Membership::InstanceList const& m_list;
    Configuration::ReplayedState const& m_fold;
    Routing::StopSchedule const& m_stop;
    IsConfirmed m_is_configuration_confirmed;
    Routing::InstanceTable m_table;
    Routing::CustomerLimits m_limits;
    Routing::DemandShares m_demand;
    Routing::RetryBudget m_budget;
    std::mt19937_64 m_random;
    std::map<std::string, Routing::RequestQueue> m_queues;
    std::map<uint64_t, std::unique_ptr<Context>> m_contexts;
    std::map<std::string, uint64_t> m_by_attempt;
    std::set<std::string> m_listed;
    uint64_t m_next_request { 1 };
    uint64_t m_next_attempt { 1 };
    std::unique_ptr<Core::Timer> m_tick_timer;
    std::unique_ptr<Core::Timer> m_share_timer;
};

}
