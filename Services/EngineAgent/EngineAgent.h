// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "../Weights/ChunkServer.h"
#include "WeightsLoader.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibCore/PauseWatch.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/LinkHub.h>
#include <LibTransport/MalformedAnswers.h>
#include <memory>
#include <set>

namespace EngineAgent {

/// The process beside an engine. It fetches, verifies and serves chunks of weights, orders the engine to load them, and sends
/// entries the engine's state: the version that it serves and its load. Callers' requests do not pass through it.
class EngineAgent {
public:
    /// The adapters to the platform's interfaces.
    struct PlatformParts {
        std::unique_ptr<Platform::EngineApi> engine;
        std::unique_ptr<Platform::WeightOrigin> origin;
    };

    /// Creates the agent, binds the ports for links and chunks, and connects to its first seed.
    /// @return AddressInUse if a port cannot be bound.
    static Core::ErrorOr<std::unique_ptr<EngineAgent>> create(Core::EventLoop&, Schema::EngineAgentSettings const&, PlatformParts);
    ~EngineAgent();

    /// Stops the event loop at once, as no requests pass through the agent.
    void drain();
    /// Stores the bounds of settings that were read again; nothing uses them yet. Settings that failed to load are logged and ignored.
    void reload(Core::ErrorOr<Schema::EngineAgentSettings> const&);

private:
    EngineAgent(Core::EventLoop&, Schema::EngineAgentSettings const&, PlatformParts);

    Core::ErrorOr<void> listen();
    Transport::LinkHub::Callbacks link_callbacks();
    void on_link_up(Schema::Hello const&);
    void on_link_message(Schema::Hello const&, Schema::Message const&);
    void on_resumed(Core::Duration paused_for);
    /// An entry got an answer of this agent's engine which states that it leaves.
    void on_leaving(Schema::LeavingServers const&);
    void on_goal(Schema::WeightsGoal const&);
    /// Returns true if the list of engines in the last goal contains this agent's engine.
    bool is_listed() const;
    void dial_wanted();
    void add_neighbours(std::map<std::string, Transport::LinkAddress>&) const;
    void add_seeds(std::map<std::string, Transport::LinkAddress>&) const;
    /// Passes the identities of the linked entries on as caches.
    void update_caches();
    /// Sends a newly linked entry the identities of all linked entries, and sends its identity to the others.
    void send_directory(std::string const& newcomer);
    /// Sends the engine's state to all linked entries.
    void send_state();
    /// Sends the state only to the entries that send requests to the engine. The others get it with the next
    /// repetition by send_state(), about one second after the last one.
    void send_load(Schema::EngineState const&);
    void send_state_if_changed();
    /// Dials one more seed while no entry is linked, or none has sent a goal.
    void dial_one_more_seed();
    void on_http(std::shared_ptr<Transport::HttpExchange> const&);

    Core::EventLoop& m_loop;
    Schema::EngineAgentSettings m_settings;
    Core::Metrics m_metrics;
    Transport::MalformedAnswers m_malformed_answers { m_metrics };
    Core::PauseWatch m_pauses;
    std::unique_ptr<Platform::EngineApi> m_engine;
    std::unique_ptr<Platform::WeightOrigin> m_origin;
    std::unique_ptr<Transport::LinkHub> m_hub;
    std::unique_ptr<WeightsLoader> m_loader;
    std::unique_ptr<Weights::ChunkServer> m_chunks;
    std::unique_ptr<Transport::HttpServer> m_http;
    std::optional<Schema::WeightsGoal> m_goal;
    // A goal was received whose list of engines did not contain this agent's engine.
    bool m_has_been_unlisted { false };
    size_t m_dialled_seeds { 1 };
    // Entries that are linked and send no requests to the engine.
    std::set<std::string> m_entries_without_requests;
    Schema::EngineState m_sent_state {};
    Core::Time m_sent_at { 0 };
    std::unique_ptr<Core::Timer> m_state_timer;
    std::unique_ptr<Core::Timer> m_seed_timer;
};

}
