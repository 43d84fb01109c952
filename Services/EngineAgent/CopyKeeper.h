// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibDistribution/ChunkStore.h>
#include <LibDistribution/EngineControl.h>
#include <LibDistribution/StagedLoad.h>
#include <LibDistribution/Transfer.h>
#include <LibPlatform/EngineApi.h>
#include <LibSchema/Generated.h>
#include <LibTransport/HttpClient.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace EngineAgent {

struct CopyKeeperSettings {
    std::string identity;
    std::string failure_domain;
    std::string region;
    std::map<std::string, std::string> regions;
    /// Port at which agents serve chunks to each other.
    uint16_t chunk_port { 0 };
    Distribution::TransferSettings transfer;
};

/// Keeps the engine's copy at the version that is wanted: finds its manifest, brings its chunks here from peers and
/// the origin, lays them beside the engine, and orders the engine to take them.
class CopyKeeper {
public:
    struct Callbacks {
        /// Chunks came, to be told to peers.
        std::function<void(Schema::PieceMap const&)> announce;
        /// What the engine holds, or whether it is busy, has changed.
        std::function<void()> changed;
    };

    CopyKeeper(Core::EventLoop&, CopyKeeperSettings, Core::Metrics&, Platform::EngineApi&, Platform::WeightOrigin&, Callbacks);
    ~CopyKeeper();

    /// What the engine is to hold. An older version than the present one is ignored.
    void set_goal(Schema::WeightsGoal const&);

    void on_peer_pieces(std::string const& peer, Schema::PieceMap const&);
    void on_peer_down(std::string const& peer);
    /// What is held here of the version that is wanted.
    std::optional<Schema::PieceMap> held() const;

    Distribution::ChunkStore const& store() const { return m_store; }
    /// The manifest as text, for peers; empty while there is none.
    std::string const& manifest_text() const { return m_manifest_text; }

    /// The engine as last reported.
    std::optional<Platform::EngineReport> const& report() const { return m_report; }
    /// The engine should get no new request: it loads, or is about to.
    bool is_busy() const;
    /// Version of which the engine holds all layers; 0 for none, or while it is not known.
    int64_t serving_version() const;

private:
    struct Download {
        std::unique_ptr<Transport::HttpCall> call;
        Distribution::IncomingChunk bytes;
        int status { 0 };
    };

    /// A version whose chunks are all here, on its way into the engine while a newer one is fetched.
    struct LoadingCopy {
        Schema::WeightsGoal goal;
        Core::Time goal_at { 0 };
        Platform::Manifest manifest;
        Schema::VersionSpec spec;
        std::unique_ptr<Distribution::StagedLoad> load;
    };

    void turn();
    void log_progress(Core::Time now);
    bool is_seeking() const;
    void keep_loading_older();
    bool is_older_load_over(Core::Time now) const;
    /// The load of a version, or null if it was given up.
    Distribution::StagedLoad* load_of(int64_t version);
    Schema::VersionSpec const& spec_of(int64_t version) const;
    void poll_engine();
    void on_report(Core::ErrorOr<Platform::EngineReport> const&);
    void seek_manifest(Core::Time now);
    void read_manifest_from_peer(std::string const& peer);
    void take_manifest(Platform::Manifest const&, std::string const& source);
    void adopt_staged();
    void begin_transfer();
    void update_transfer_targets();
    void run_transfer(Core::Time now);
    void start_fetch(Distribution::Fetch const&);
    void fetch_from_origin(Distribution::Fetch const&);
    void fetch_from_peer(Distribution::Fetch const&);
    void on_bytes(uint64_t fetch, Distribution::IncomingChunk&, bool is_from_origin);
    void on_fetch_failed(uint64_t fetch, Distribution::FetchFailure);
    void hold_chunk(size_t chunk);
    void run_load(Core::Time now);
    void perform(Distribution::LoadAction const&, int64_t version);
    void stage(int64_t version, size_t chunk);
    void read_back(int64_t version, size_t chunk);
    void order(int64_t version, Distribution::OrderLoad const&);
    bool may_switch(Schema::WeightsGoal const&, Core::Time goal_at, Core::Time now) const;
    void tell_seeking();
    void tell_change();
    std::vector<std::string> target_ids() const;
    std::vector<std::string> near_ids() const;

    Core::EventLoop& m_loop;
    CopyKeeperSettings m_settings;
    Core::Metrics& m_metrics;
    Platform::EngineApi& m_engine;
    Platform::WeightOrigin& m_origin;
    Callbacks m_callbacks;
    Transport::HttpClient m_client;

    std::optional<Schema::WeightsGoal> m_goal;
    Core::Time m_goal_at { 0 };
    // When the oldest version was named that the engine has not reached, if the goal has moved on from it.
    std::optional<Core::Time> m_unmet_since;
    std::optional<Platform::Manifest> m_manifest;
    std::string m_manifest_text;
    Core::Time m_manifest_asked_at { 0 };
    size_t m_manifest_tries { 0 };
    std::optional<Schema::VersionSpec> m_spec;
    Distribution::ChunkStore m_store;
    std::unique_ptr<Distribution::Transfer> m_transfer;
    std::unique_ptr<Distribution::StagedLoad> m_load;
    // Chunks of peers, by peer and version.
    std::map<std::string, std::pair<int64_t, std::set<int64_t>>> m_peer_chunks;
    // The version that each peer said its engine serves.
    std::map<std::string, int64_t> m_peer_versions;
    std::optional<LoadingCopy> m_older;
    std::map<uint64_t, std::unique_ptr<Download>> m_downloads;
    std::map<uint64_t, size_t> m_fetch_chunks;
    // What lay beside the engine when this process started was looked at.
    bool m_has_adopted { false };
    size_t m_adopting { 0 };
    bool m_is_complete { false };
    Core::Time m_progress_told_at { 0 };

    std::optional<Platform::EngineReport> m_report;
    int64_t m_last_version { -1 };
    bool m_was_busy { false };
    bool m_is_polling { false };
    std::unique_ptr<Core::Timer> m_turn_timer;
    std::unique_ptr<Core::Timer> m_poll_timer;
};

}
