// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "RequestRunner.h"
#include "WeightsRunner.h"
#include <LibConfiguration/Replica.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibMembership/IdempotencyKeyOwner.h>
#include <LibMembership/InstanceList.h>
#include <LibMembership/LeaveAcknowledgements.h>
#include <LibPlatform/Platform.h>
#include <LibRouting/StopSchedule.h>
#include <LibSchema/Generated.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/LinkHub.h>
#include <LibTransport/MalformedAnswers.h>

namespace Agent {

/// The process beside one backend server: the last hop of its requests and the keeper of its weights.
class Agent {
public:
    static Core::ErrorOr<std::unique_ptr<Agent>> create(Core::EventLoop&, Schema::AgentSettings const&);
    ~Agent();

    /// Takes no new work, finishes what it has, then ends the loop.
    void drain();

private:
    Agent(Core::EventLoop&, Schema::AgentSettings const&, std::vector<std::string> keys);

    Core::ErrorOr<void> listen();
    Transport::LinkHub::Callbacks link_callbacks();
    WeightsRunner::Callbacks weights_callbacks();
    void on_up(Schema::Hello const&);
    void on_message(Schema::Hello const&, Schema::Message const&);
    void on_down(std::string const& peer);
    void on_pong(std::string const& entry, Schema::Pong const&);
    void on_members(Schema::Members);
    void on_configuration();
    void on_http(std::shared_ptr<Transport::HttpExchange> const&);
    Routing::AdmissionView admission_view() const;
    Schema::Report report() const;
    void report_soon();
    void send_report();
    void ping();
    void pass_demand_on();
    void read_platform_if_alone();
    void finish_when_idle();
    bool has_taken_leave(Core::Duration waited) const;
    Core::Duration lease() const;
    bool is_linked_to_entry() const;

    Core::EventLoop& m_loop;
    Schema::AgentSettings m_settings;
    Core::Metrics m_metrics;
    Transport::MalformedAnswers m_malformed_answers { m_metrics };
    Configuration::Replica m_replica;
    Membership::InstanceList m_list;
    Membership::IdempotencyKeyOwner m_key_home;
    std::unique_ptr<Platform::Platform> m_platform;
    std::unique_ptr<Transport::LinkHub> m_hub;
    std::unique_ptr<Transport::HttpServer> m_http;
    std::unique_ptr<RequestRunner> m_requests;
    std::unique_ptr<WeightsRunner> m_weights;
    size_t m_capacity { 0 };

    struct HeardDemand {
        Core::Time heard_at { 0 };
        std::vector<Schema::Demand> customers;
    };
    std::map<std::string, HeardDemand> m_demands;

    Routing::StopSchedule m_stop;
    // Requests whose answers were broken off as the time to finish them was over.
    size_t m_broken_off { 0 };
    Membership::LeaveAcknowledgements m_leave_notice;
    Core::Time m_last_entry_seen { 0 };
    bool m_is_reading_platform { false };
    std::unique_ptr<Core::Timer> m_report_timer;
    std::unique_ptr<Core::Timer> m_ping_timer;
    std::unique_ptr<Core::Timer> m_platform_timer;
    std::unique_ptr<Core::Timer> m_drain_timer;
};

}
