// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CallerApi.h"
#include "OperatorApi.h"
#include <LibConfiguration/Replica.h>
#include <LibConfiguration/SnapshotSchedule.h>
#include <LibDistribution/RolloutProgress.h>
#include <LibMembership/IdempotencyKeyOwner.h>
#include <LibMembership/InstanceList.h>
#include <LibPlatform/Platform.h>
#include <LibTransport/IngressServer.h>
#include <LibTransport/LinkHub.h>
#include <LibTransport/MalformedAnswers.h>

namespace Entry {

/// The process that callers and operators talk to.
class Entry {
public:
    static Core::ErrorOr<std::unique_ptr<Entry>> create(Core::EventLoop&, Schema::EntrySettings const&);
    ~Entry();

    /// Fails the health check, then takes no new requests, finishes what it has, and ends the loop.
    void drain();

private:
    Entry(Core::EventLoop&, Schema::EntrySettings const&, std::vector<std::string> keys, std::map<std::string, Settings::OperatorRole> tokens);

    Core::ErrorOr<void> listen();
    Transport::LinkHub::Callbacks link_callbacks();
    void on_up(Schema::Hello const&);
    void on_message(Schema::Hello const&, Schema::Message const&);
    void on_down(std::string const& agent);
    void on_ping(Schema::Hello const&, Schema::Ping const&);
    void on_http(std::shared_ptr<Transport::IngressRequest> const&);
    void reply_metrics(Transport::IngressRequest&);
    void reply_status(Transport::IngressRequest&);

    void read_list();
    void read_log();
    void on_members(Schema::Members);
    void on_configuration(int64_t previous_offset);
    void send_to_agents(Schema::Message const&);
    void send_tallies();
    void write_snapshot_if_due();
    void drop_silent_links();
    void update_links();
    void finish_when_idle();
    /// Answers all callers and operators that are not answered yet.
    void give_up_unfinished();
    bool is_list_confirmed() const;
    bool is_configuration_confirmed() const;
    bool is_ready() const;
    Core::Duration lease() const;

    Core::EventLoop& m_loop;
    Schema::EntrySettings m_settings;
    Core::Metrics m_metrics;
    Transport::MalformedAnswers m_malformed_answers { m_metrics };
    Configuration::Replica m_replica;
    Configuration::SnapshotSchedule m_snapshots;
    Membership::InstanceList m_list;
    Membership::AgentSetHistory m_set_history;
    Distribution::RolloutProgress m_tally;
    std::unique_ptr<Platform::Platform> m_platform;
    std::unique_ptr<Transport::LinkHub> m_hub;
    std::unique_ptr<Transport::IngressServer> m_http;
    Routing::StopSchedule m_stop;
    size_t m_given_up { 0 };
    std::unique_ptr<CallerApi> m_callers;
    std::unique_ptr<OperatorApi> m_operators;

    std::map<std::string, Core::Time> m_last_heard;
    std::map<std::string, std::vector<std::string>> m_told_ready;
    std::optional<Core::Time> m_list_read_at;
    // When a read of the log was asked for that found nothing more.
    std::optional<Core::Time> m_log_read_at;
    int64_t m_known_snapshot { -1 };
    bool m_is_reading_list { false };
    bool m_is_reading_log { false };
    Core::Time m_last_check { 0 };
    std::unique_ptr<Core::Timer> m_list_timer;
    std::unique_ptr<Core::Timer> m_log_timer;
    std::unique_ptr<Core::Timer> m_tally_timer;
    std::unique_ptr<Core::Timer> m_check_timer;
    std::unique_ptr<Core::Timer> m_drain_timer;
};

}
