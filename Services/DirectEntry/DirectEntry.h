// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CrashDetector.h"
#include "EngineSharing.h"
#include "EntryFacts.h"
#include "EntryWeights.h"
#include "LeavingServers.h"
#include "PeerCapabilities.h"
#include "ProxiedRequest.h"
#include "RequestContext.h"
#include "VersionGoals.h"
#include "WeightsGoalPublisher.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/FactLog.h>
#include <LibPlatform/RequestHeads.h>
#include <LibRouting/FollowedEngines.h>
#include <LibRouting/LimitCoordinator.h>
#include <LibRouting/StopSchedule.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/IngressServer.h>
#include <LibTransport/LinkHub.h>
#include <LibTransport/MalformedAnswers.h>
#include <memory>
#include <random>
#include <set>

namespace DirectEntry {

/// An entry process that sends callers' requests to backend servers itself.
///
/// Owns and connects its parts: links to other entries and to agents, the facts (the configuration, the named versions and the list
/// of backend servers, as read from the platform's log), the requests in flight, the weights cache, and the ports for callers,
/// readiness and metrics.
class DirectEntry {
public:
    /// The adapters to the platform that the entry owns.
    struct PlatformParts {
        EntryFacts::Sources facts;
        /// Stores blamed requests; null if the platform offers no storage for this system's own records.
        std::unique_ptr<Platform::BlameRecords> blames;
        std::unique_ptr<Platform::RequestHeads> heads;
        /// Null if this entry caches no weights.
        std::unique_ptr<Platform::WeightOrigin> origin;
    };

    /// Binds all ports and starts reading the facts.
    /// @return AddressInUse if a port cannot be bound.
    static Core::ErrorOr<std::unique_ptr<DirectEntry>> create(Core::EventLoop&, Schema::DirectEntrySettings const&, PlatformParts);
    ~DirectEntry();

    /// Reports not ready, closes each caller's connection after its answer, and stops the event loop once no request is in flight, but
    /// not before 3 s have passed. After 2.5 s a request is refused at once if its deadline is not over 0.5 s before the end of the
    /// settings' grace period; what is in flight then is refused or aborted.
    void drain();

    /// Applies the seeds and the bounds `version_ms` and `grace_s` of settings that were read again; the other bounds take effect at a
    /// restart. Logs an error if the settings could not be read, and whether addresses changed, which takes a restart too.
    void reload(Core::ErrorOr<Schema::DirectEntrySettings> const&);

private:
    DirectEntry(Core::EventLoop&, Schema::DirectEntrySettings const&, PlatformParts);

    Core::ErrorOr<void> listen();
    Transport::LinkHub::Callbacks link_callbacks();
    EntryFacts::Callbacks fact_callbacks();

    void on_link_up(Schema::Hello const&);
    void on_link_message(Schema::Hello const&, Schema::Message const&);
    void on_link_down(std::string const& identity);
    /// Drops all links and reads the facts again after the process resumed from a pause of at least the links' keep-alive limit.
    void handle_pause(Core::Duration paused_for);
    /// Earliest time at which a request that is read now can have arrived.
    Core::Time arrival_time();
    /// The agent at this IP address reports that its engine holds another version than before.
    void on_engine_version(std::string const& ip, int64_t version);
    /// Sends the log position, or once per EngineSharing::interval the request rates, to the other entries, and updates the links.
    void check_links();
    /// Assigns the engines to the entries anew.
    void update_roles(Core::Time now);
    /// Notifies the agents whose engines this entry has begun or ceased to use.
    void send_engine_use();
    /// Connects to the wanted entries, seeds and agents, and drops other links that this entry opened.
    void update_links();
    /// The listed backend servers that are engines, with their IP address as id.
    std::vector<Routing::SharedEngine> listed_engines() const;
    /// Sends the newly linked entries to the others, some of which must connect to them.
    void announce_new_entries();

    Platform::Distance distance(std::string const& entry) const;
    void on_facts(Configuration::FactChanges const&);
    void on_configuration();
    Schema::Message log_position_message() const;
    Schema::Message entry_load_message() const;
    void send_to_entries(Schema::Message const&);
    void send_goals();
    void create_weights_cache();
    /// Time within which engines must serve a version after it was named.
    Core::Duration version_time_limit() const { return Core::Duration(m_settings.bounds.version_ms); }
    /// Whether the configuration was not known to be current within the last 4 s.
    bool is_stale() const;
    bool is_ready() const;

    void on_request(std::shared_ptr<Transport::IngressRequest>);
    Transport::FaultAnswer answer_to_fault(Transport::IngressFault, Transport::MessageHead const&);
    void log_request_while_stopping(Transport::IngressRequest const&);
    /// Logs the number of requests in flight, in which phase they are, and the age of the oldest.
    void log_requests_in_flight();
    std::function<void(std::string const& entry, Schema::Message const&)> sender_to_capable_entries();
    CrashDetector::Callbacks crash_callbacks();
    LeavingServers::Callbacks leaving_callbacks();
    Routing::LimitCoordinator::Send limit_sender();
    void report_limits();
    /// Lets waiting requests try again to find a slot, in the order of their queues.
    void offer_slots();
    void tick();
    /// Stops the event loop once draining is complete or the grace period nearly over.
    void finish_drain(Core::Time now);
    /// Answers all requests that are not answered yet.
    void give_up_unfinished();
    void reply_suspects(Transport::HttpExchange&);
    void on_internal_request(std::shared_ptr<Transport::HttpExchange> const&);
    size_t unreadable_server_fields() const;
    void reply_metrics(Transport::HttpExchange&);

    Core::EventLoop& m_loop;
    Schema::DirectEntrySettings m_settings;
    Core::Metrics m_metrics;
    Transport::MalformedAnswers m_malformed_answers { m_metrics };
    std::unique_ptr<Platform::RequestHeads> m_heads;
    std::unique_ptr<Platform::WeightOrigin> m_origin;
    EntryFacts m_facts;

    std::unique_ptr<Transport::LinkHub> m_hub;
    std::unique_ptr<WeightsGoalPublisher> m_goal_publisher;
    int m_link_checks { 0 };
    // Peers whose links were dropped because nothing was received for the keep-alive limit, until they are up again.
    std::set<std::string> m_silent_peers;
    std::set<std::string> m_known_entries;
    // Entries linked for the first time since the last directory message, which other entries may not know of yet.
    std::set<std::string> m_new_entries;
    VersionGoals m_goals;

    std::mt19937_64 m_random;
    EngineSharing m_sharing;
    Routing::FollowedEngines m_followed;
    // IP addresses of the engines that this entry has a role for, as their owner or as a helper.
    std::set<std::string> m_used_engines;
    // Whether this entry uses an engine, as last sent to its agent, by IP address.
    std::map<std::string, bool> m_sent_engine_use;
    // The entries or engines changed since engine roles were last assigned.
    bool m_roles_changed { false };
    Core::Time m_roles_updated_at { 0 };
    Core::Time m_started_at;
    Routing::ServerTable m_servers;
    Routing::LimitCoordinator m_limits;
    // What the other entries were last told of LimitCoordinator::is_issuing().
    bool m_has_stated_issuing { false };
    LeavingServers m_leaving;
    Routing::SharedRetryBudget m_retries;
    PeerCapabilities m_capabilities;
    CrashDetector m_crashes;
    // Null if the settings give no metrics port or no link bandwidth, or if there is no origin.
    std::unique_ptr<EntryWeights> m_weights;
    Routing::ReturningCallers m_returning;
    Routing::StopSchedule m_stop;
    RequestContext m_context;
    // Queues of the requests that wait for a slot, by service.
    std::map<std::string, Routing::ServiceQueue> m_service_queues;
    std::map<uint64_t, std::shared_ptr<ProxiedRequest>> m_requests;
    uint64_t m_next_request { 1 };
    int m_offer_ticks { 0 };

    std::unique_ptr<Transport::IngressServer> m_callers;
    std::unique_ptr<Transport::HttpServer> m_readiness;
    std::unique_ptr<Transport::HttpServer> m_metrics_server;
    std::unique_ptr<Core::Timer> m_tick_timer;
    std::unique_ptr<Core::Timer> m_link_timer;
    std::unique_ptr<Core::Timer> m_report_timer;
    size_t m_given_up { 0 };
};

}
