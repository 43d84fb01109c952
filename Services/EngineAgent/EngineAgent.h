// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "../Weights/ChunkServer.h"
#include "CopyKeeper.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibCore/PauseWatch.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/LinkHub.h>
#include <memory>
#include <set>

namespace EngineAgent {

/// The process beside an engine: holds, verifies and passes on its weights, orders the engine, and tells entries what
/// the engine holds and how loaded it is. No request passes through it.
class EngineAgent {
public:
    struct PlatformParts {
        std::unique_ptr<Platform::EngineApi> engine;
        std::unique_ptr<Platform::WeightOrigin> origin;
    };

    /// @return AddressInUse if a port cannot be bound.
    static Core::ErrorOr<std::unique_ptr<EngineAgent>> create(Core::EventLoop&, Schema::EngineAgentSettings const&, PlatformParts);
    ~EngineAgent();

    void drain();
    void reload(Core::ErrorOr<Schema::EngineAgentSettings> const&);

private:
    EngineAgent(Core::EventLoop&, Schema::EngineAgentSettings const&, PlatformParts);

    Core::ErrorOr<void> listen();
    Transport::LinkHub::Callbacks link_callbacks();
    void on_link_up(Schema::Hello const&);
    void on_link_message(Schema::Hello const&, Schema::Message const&);
    void on_resumed(Core::Duration paused_for);
    void on_goal(Schema::WeightsGoal const&);
    /// The list that entries go by names this agent's engine.
    bool is_listed() const;
    void dial_wanted();
    void add_neighbours(std::map<std::string, Transport::LinkAddress>&) const;
    void add_seeds(std::map<std::string, Transport::LinkAddress>&) const;
    void tell_caches();
    void introduce(std::string const& newcomer);
    void send_state();
    /// To those alone that send requests to the engine; the others wait for the next repeat.
    void send_load(Schema::EngineState const&);
    void send_state_if_changed();
    void ask_more_seeds();
    void on_http(std::shared_ptr<Transport::HttpExchange> const&);

    Core::EventLoop& m_loop;
    Schema::EngineAgentSettings m_settings;
    Core::Metrics m_metrics;
    Core::PauseWatch m_pauses;
    std::unique_ptr<Platform::EngineApi> m_engine;
    std::unique_ptr<Platform::WeightOrigin> m_origin;
    std::unique_ptr<Transport::LinkHub> m_hub;
    std::unique_ptr<CopyKeeper> m_copy;
    std::unique_ptr<Weights::ChunkServer> m_chunks;
    std::unique_ptr<Transport::HttpServer> m_http;
    std::optional<Schema::WeightsGoal> m_goal;
    // Some goal came before the list named this agent's engine.
    bool m_has_been_unlisted { false };
    size_t m_seeds_asked { 1 };
    // Entries that are linked and send nothing to the engine.
    std::set<std::string> m_onlookers;
    Schema::EngineState m_sent_state {};
    Core::Time m_sent_at { 0 };
    std::unique_ptr<Core::Timer> m_state_timer;
    std::unique_ptr<Core::Timer> m_seed_timer;
};

}
