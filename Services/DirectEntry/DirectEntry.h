// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CrashWatch.h"
#include "EngineSharing.h"
#include "EntryFacts.h"
#include "EntryWeights.h"
#include "GoalTeller.h"
#include "PeerAbilities.h"
#include "ProxiedRequest.h"
#include "RequestContext.h"
#include "VersionGoals.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/FactLog.h>
#include <LibPlatform/RequestHeads.h>
#include <LibRouting/FollowedEngines.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/IngressServer.h>
#include <LibTransport/LinkHub.h>
#include <memory>
#include <random>
#include <set>

namespace DirectEntry {

/// An entry that speaks to backend servers itself: wiring of links, facts, callers and metrics.
class DirectEntry {
public:
    struct PlatformParts {
        EntryFacts::Sources facts;
        /// Null where the platform keeps nothing of the product's own.
        std::unique_ptr<Platform::BlameRecords> blames;
        std::unique_ptr<Platform::RequestHeads> heads;
        std::unique_ptr<Platform::WeightOrigin> origin;
    };

    /// @return AddressInUse if a port cannot be bound.
    static Core::ErrorOr<std::unique_ptr<DirectEntry>> create(Core::EventLoop&, Schema::DirectEntrySettings const&, PlatformParts);
    ~DirectEntry();

    /// Takes no new work, finishes what is in hand, and ends the loop.
    void drain();

    /// The settings file was read again. What cannot change in a running process is named in the log.
    void reload(Core::ErrorOr<Schema::DirectEntrySettings> const&);

private:
    DirectEntry(Core::EventLoop&, Schema::DirectEntrySettings const&, PlatformParts);

    Core::ErrorOr<void> listen();
    Transport::LinkHub::Callbacks link_callbacks();
    EntryFacts::Callbacks fact_callbacks();

    void on_link_up(Schema::Hello const&);
    void on_link_message(Schema::Hello const&, Schema::Message const&);
    void on_link_down(std::string const& identity);
    void on_woke(Core::Duration paused_for);
    Core::Time arrival();
    void on_engine_version(std::string const& ip, int64_t version);
    void check_links();
    void update_roles(Core::Time now);
    void tell_engine_use();
    void update_links();
    std::vector<Routing::SharedEngine> listed_engines() const;
    void introduce_entries();

    Platform::Distance distance(std::string const& entry) const;
    void on_facts(Configuration::FactChanges const&);
    void on_configuration();
    Schema::Message news() const;
    Schema::Message load_news() const;
    void send_goals();
    void keep_weights();
    /// Time from the naming of a version within which it must be served.
    Core::Duration version_bound() const { return Core::Duration(m_settings.bounds.version_ms); }
    bool is_stale() const;
    bool is_ready() const;

    void on_request(std::shared_ptr<Transport::IngressRequest>);
    std::function<void(std::string const& entry, Schema::Message const&)> sender_to_able_entries();
    CrashWatch::Callbacks crash_callbacks();
    void offer_places();
    void tick();
    void finish_drain();
    void reply_suspects(Transport::HttpExchange&);
    void on_internal_request(std::shared_ptr<Transport::HttpExchange> const&);
    size_t unreadable_server_fields() const;
    void reply_metrics(Transport::HttpExchange&);

    Core::EventLoop& m_loop;
    Schema::DirectEntrySettings m_settings;
    Core::Metrics m_metrics;
    std::unique_ptr<Platform::RequestHeads> m_heads;
    std::unique_ptr<Platform::WeightOrigin> m_origin;
    EntryFacts m_facts;

    std::unique_ptr<Transport::LinkHub> m_hub;
    std::unique_ptr<GoalTeller> m_goal_teller;
    int m_link_checks { 0 };
    // Peers whose links were found silent, until they are up again.
    std::set<std::string> m_silent_peers;
    std::set<std::string> m_known_entries;
    // Entries that came by themselves and that others may not know of yet.
    std::set<std::string> m_met_entries;
    VersionGoals m_goals;

    std::mt19937_64 m_random;
    EngineSharing m_sharing;
    Routing::FollowedEngines m_followed;
    // IP numbers of the engines that this entry fills or helps to fill.
    std::set<std::string> m_used_engines;
    // What agents were told of the use of their engines, by IP number.
    std::map<std::string, bool> m_told_use;
    // Who shares the engines, or which engines there are, has changed since they were dealt.
    bool m_roles_changed { false };
    Core::Time m_roles_at { 0 };
    Core::Time m_started_at;
    Routing::ServerTable m_servers;
    Routing::SharedRetryBudget m_retries;
    PeerAbilities m_abilities;
    CrashWatch m_crashes;
    // Null where the settings give it no port or no bandwidth.
    std::unique_ptr<EntryWeights> m_weights;
    Routing::ReturningCallers m_returning;
    RequestContext m_context;
    std::map<std::string, Routing::ServiceLine> m_lines;
    std::map<uint64_t, std::shared_ptr<ProxiedRequest>> m_requests;
    uint64_t m_next_request { 1 };
    int m_offers { 0 };

    std::unique_ptr<Transport::IngressServer> m_callers;
    std::unique_ptr<Transport::HttpServer> m_readiness;
    std::unique_ptr<Transport::HttpServer> m_metrics_server;
    std::unique_ptr<Core::Timer> m_tick_timer;
    std::unique_ptr<Core::Timer> m_link_timer;
    std::optional<Core::Time> m_drain_started;
};

}
