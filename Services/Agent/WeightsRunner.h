// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "../Weights/ChunkServer.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibDistribution/ChunkStore.h>
#include <LibDistribution/EngineControl.h>
#include <LibDistribution/Neighbours.h>
#include <LibDistribution/Transfer.h>
#include <LibMembership/InstanceList.h>
#include <LibPlacement/Placement.h>
#include <LibSchema/Generated.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/LinkHub.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Agent {

struct WeightsRunnerSettings {
    std::string identity;
    std::string own_address;
    std::string platform_address;
    uint16_t platform_port { 0 };
    std::string backend_address;
    uint16_t backend_port { 0 };
    bool has_engine { true };
    size_t neighbours { 16 };
    int64_t download_bytes_per_second { 0 };
    Distribution::TransferSettings transfer;
    Weights::ChunkServerSettings uploads;
};

/// Holds the instance's weights: brings them here, passes them on, and has the engine load them.
class WeightsRunner {
public:
    struct Callbacks {
        std::function<bool(std::string const& peer, Schema::Message const&)> send;
        std::function<void(std::map<std::string, Transport::LinkAddress>)> set_neighbours;
        std::function<std::vector<std::string>()> linked_peers;
        std::function<size_t()> in_flight;
        /// Something that a report says has changed.
        std::function<void()> changed;
    };

    WeightsRunner(Core::EventLoop&, WeightsRunnerSettings, Core::Metrics&, Callbacks);
    ~WeightsRunner();

    /// The port at which the chunks held here are served.
    void set_http_port(uint16_t port) { m_http_port = port; }

    /// The configuration or the list changed.
    void update(Configuration::ReplayedState const&, Membership::InstanceList const&);
    void on_tally(Schema::Tally const&);
    void on_peer_up(std::string const& peer);
    void on_peer_down(std::string const& peer);
    void on_chunk_map(std::string const& peer, Schema::ChunkMap const&);

    /// Serves the chunks held here.
    Weights::ChunkServer& chunk_server() { return m_chunk_server; }

    /// Weights that requests may be served with, and whether a switch is under way.
    std::optional<Schema::Weights> serving() const;
    bool is_switching() const { return m_engine.is_switching(); }
    void describe(Schema::Report&) const;

private:
    struct Download {
        std::unique_ptr<Transport::HttpCall> call;
        Distribution::IncomingChunk bytes;
        std::string digest;
        bool is_from_origin { false };
        int status { 0 };
    };

    void adopt(std::string const& rollout, int64_t revision, Schema::VersionSpec const&);
    void release();
    void start_transfer();
    void update_neighbours(Membership::InstanceList const&);
    void turn();
    void run_transfer(Core::Time now);
    void start(Distribution::Fetch const&);
    void stop(uint64_t fetch);
    void on_downloaded(uint64_t fetch);
    void on_download_failed(uint64_t fetch, Distribution::FetchFailure);
    std::unique_ptr<Download> take_download(uint64_t fetch);
    /// Counts bytes that came and are not kept, by what made them useless.
    void count_discarded(Download const&, std::string const& reason);
    void discard_downloads();
    void announce();
    void send_full_map(std::string const& peer);
    void run_engine(Core::Time now);
    void poll_engine();
    void order(Distribution::EngineControl::Order const&);
    bool may_switch_now() const;
    bool do_successors_serve() const;
    std::vector<std::string> const& ready_of(std::string const& rollout) const;
    void drop_unneeded(Core::Time now);

    Core::EventLoop& m_loop;
    WeightsRunnerSettings m_settings;
    Core::Metrics& m_metrics;
    Callbacks m_callbacks;
    Transport::HttpClient m_client;
    std::unique_ptr<Transport::RateLimit> m_download_limit;
    uint16_t m_http_port { 0 };

    Distribution::ChunkStore m_store;
    Weights::ChunkServer m_chunk_server;
    std::unique_ptr<Distribution::Transfer> m_transfer;
    Distribution::EngineControl m_engine;

    // What this instance is to hold: empty while it is in no rollout.
    std::string m_rollout;
    int64_t m_revision { -1 };
    std::optional<Schema::VersionSpec> m_version;
    Schema::Prefer m_prefer { Schema::Prefer::Time };
    bool m_is_version_missing { false };
    std::vector<std::string> m_targets;
    std::vector<Distribution::NeighbourCandidate> m_candidates;
    std::map<std::string, Transport::LinkAddress> m_link_addresses;
    std::map<std::string, Transport::LinkAddress> m_http_addresses;
    size_t m_widen { 0 };

    std::map<uint64_t, std::unique_ptr<Download>> m_downloads;
    // What peers said they hold, by peer and version digest.
    std::map<std::string, std::map<std::string, std::set<int64_t>>> m_peer_chunks;
    std::vector<int64_t> m_to_announce;
    int64_t m_origin_bytes { 0 };
    int64_t m_peer_bytes { 0 };

    std::map<std::string, std::vector<std::string>> m_ready_by_rollout;
    std::optional<Core::Time> m_released_at;
    std::string m_released_rollout;
    // Who holds the rollout that this instance left: its copy serves until theirs do.
    std::vector<std::string> m_successors;
    bool m_is_withdrawn { false };
    std::optional<Core::Time> m_ready_at;
    std::optional<Schema::Weights> m_last_serving;

    std::unique_ptr<Core::Timer> m_turn_timer;
    std::unique_ptr<Core::Timer> m_poll_timer;
    bool m_is_polling { false };
};

}
