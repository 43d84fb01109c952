// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "../Weights/CopyFetcher.h"
#include "../Weights/CopyGoal.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibDistribution/EngineControl.h>
#include <LibDistribution/StagedLoad.h>
#include <LibDistribution/UnmetGoals.h>
#include <LibPlatform/EngineApi.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace EngineAgent {

struct CopyKeeperSettings {
    std::string region;
    /// The region of each failure domain.
    std::map<std::string, std::string> regions;
    Weights::CopyFetcherSettings fetcher;
};

/// Keeps the engine's copy at the version that is wanted: has its chunks brought here, lays them beside the engine, and
/// orders the engine to take them.
class CopyKeeper {
public:
    struct Callbacks {
        /// Chunks came, to be told to peers.
        std::function<void(Schema::PieceMap const&)> announce;
        /// What the engine holds, or whether it is busy, has changed.
        std::function<void()> changed;
        /// Notices a pause of the process that has just ended, before anything is done on what was known before.
        std::function<void()> check_for_pause;
    };

    CopyKeeper(Core::EventLoop&, CopyKeeperSettings, Core::Metrics&, Platform::EngineApi&, Platform::WeightOrigin&, Callbacks);
    ~CopyKeeper();

    /// What the engine is to hold. An older version than the present one is ignored; a newer one may have to wait until
    /// the transfer of the present one ends.
    void set_goal(Schema::WeightsGoal const&);

    /// The process woke from a pause: the engine's report is asked for anew, and no order is given before an entry has said again what
    /// is wanted.
    void on_resumed();

    void on_peer_pieces(std::string const& peer, Schema::PieceMap const&);
    void on_peer_down(std::string const& peer);
    /// What an entry of this region holds for its agents.
    void on_cache_pieces(std::string const& cache, Schema::PieceMap const&);
    /// The entries, which keep copies for agents.
    void set_caches(std::set<std::string> caches);
    /// What is held here of the version that is wanted, and of an older one that is kept for others.
    std::vector<Schema::PieceMap> held() const { return m_fetcher.held(); }

    Distribution::ChunkStore const& store() const { return m_fetcher.store(); }
    /// Answers a peer's request for a manifest.
    void serve_manifest(Transport::HttpExchange& exchange) const { m_fetcher.serve_manifest(exchange); }

    /// The engine as last reported.
    std::optional<Platform::EngineReport> const& report() const { return m_report; }
    /// The engine should get no new request: it loads, or is about to.
    bool is_busy() const;
    /// Version of which the engine holds all layers; 0 for none, or while it is not known.
    int64_t serving_version() const;

private:
    /// A version whose chunks are all here, on its way into the engine while a newer one is fetched.
    struct LoadingCopy {
        Schema::WeightsGoal goal;
        Core::Time goal_at { 0 };
        Schema::VersionSpec spec;
        std::unique_ptr<Distribution::StagedLoad> load;
    };

    std::optional<Schema::WeightsGoal> const& goal() const { return m_goal.present(); }
    void on_turning(Schema::WeightsGoal const& next, Core::Time named_at);
    Weights::CopyFetcher::Callbacks fetcher_callbacks();
    Weights::CopySources sources() const;
    void turn();
    void on_manifest();
    /// Whether the engine does not serve a version yet.
    bool is_seeking(int64_t version) const;
    /// Whether some peer's engine does not serve a version yet.
    bool is_lacked(int64_t version) const;
    bool does_peer_serve(std::string const& peer, int64_t version) const;
    void keep_loading_older();
    bool is_older_load_over(Core::Time now) const;
    /// The load of a version, or null if it was given up.
    Distribution::StagedLoad* load_of(int64_t version);
    Schema::VersionSpec const& spec_of(int64_t version) const;
    void poll_engine();
    void note_report(Core::ErrorOr<Platform::EngineReport> const&);
    void on_report(Core::ErrorOr<Platform::EngineReport> const&);
    void take_report(Core::ErrorOr<Platform::EngineReport> const&);
    void log_restart(std::optional<int64_t> started_at_ms);
    void adopt_staged();
    void begin_transfer();
    void run_load(Core::Time now);
    bool knows_present_goal(Core::Time now);
    void perform(Distribution::LoadAction const&, int64_t version);
    void stage(int64_t version, size_t chunk);
    void read_back(int64_t version, size_t chunk);
    void order(int64_t version, Distribution::OrderLoad const&);
    bool may_switch(Schema::WeightsGoal const&, Core::Time goal_at, Core::Time now) const;
    void tell_seeking();
    void tell_change();

    CopyKeeperSettings m_settings;
    Core::Metrics& m_metrics;
    Platform::EngineApi& m_engine;
    Callbacks m_callbacks;

    Distribution::UnmetGoals m_unmet_goals;
    std::unique_ptr<Distribution::StagedLoad> m_load;
    Weights::CopyFetcher m_fetcher;
    Weights::CopyGoal m_goal;
    // The entries, and those of them in this region.
    std::set<std::string> m_caches;
    std::set<std::string> m_near_caches;
    // The version that each peer said its engine serves.
    std::map<std::string, int64_t> m_peer_versions;
    std::optional<LoadingCopy> m_older;
    // What lay beside the engine when this process started was looked at.
    bool m_has_adopted { false };
    size_t m_adopting { 0 };

    std::optional<Platform::EngineReport> m_report;
    // What was wrong with the last report; empty if nothing.
    std::string m_report_fault;
    // The start that the engine told last; entries are told of each.
    std::optional<int64_t> m_started_at_ms;
    std::optional<int64_t> m_told_start;
    int64_t m_last_version { -1 };
    bool m_was_busy { false };
    bool m_is_polling { false };
    // Of the report that is asked for; the answer to an earlier question is passed over.
    uint64_t m_poll_number { 0 };
    // When the process woke from a pause after which no entry has told what is wanted.
    std::optional<Core::Time> m_woke_at;
    std::unique_ptr<Core::Timer> m_turn_timer;
    std::unique_ptr<Core::Timer> m_poll_timer;
};

}
