// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "../Weights/CopyFetcher.h"
#include "../Weights/CopyGoal.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibDistribution/EngineControl.h>
#include <LibDistribution/StagedLoad.h>
#include <LibDistribution/StagingArea.h>
#include <LibDistribution/UnreachedVersions.h>
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

struct WeightsLoaderSettings {
    std::string region;
    /// The region of each failure domain.
    std::map<std::string, std::string> regions;
    Weights::CopyFetcherSettings fetcher;
};

/// Brings the engine to the goal, the newest version of the weights that entries have sent as a goal and that need not wait: fetches its
/// chunks into this process, writes them to the engine's staging area, and orders the engine to load them.
///
/// While a newer goal is fetched, a complete older version may still be loaded, because each version has its own deadline.
class WeightsLoader {
public:
    struct Callbacks {
        /// Sends a map of the chunks held here to the peers: the agents that this process has links to.
        std::function<void(Schema::PieceMap const&)> announce;
        /// Called when the version that the engine serves, its incarnation, or whether it is busy has changed.
        std::function<void()> changed;
        /// Detects a pause of the process that has just ended. Called before anything is done on the basis of older information.
        std::function<void()> detect_pause;
    };

    WeightsLoader(Core::EventLoop&, WeightsLoaderSettings, Core::Metrics&, Platform::EngineApi&, Platform::WeightOrigin&, Callbacks);
    ~WeightsLoader();

    /// Sets the version that the engine shall load. A version older than the current goal is ignored; a newer one waits while
    /// the transfer of the current one should be finished first (Distribution::should_finish_first()).
    void set_goal(Schema::WeightsGoal const&);

    /// Handles the end of a pause of the process: discards the engine's report and requests a new one. No order is sent to the engine until
    /// an entry has sent the goal again or 3 s have passed.
    void on_resumed();

    /// Applies a peer's map of chunks, from which also follows which version its engine serves.
    void on_peer_pieces(std::string const& peer, Schema::PieceMap const&);
    /// Discards the state of a peer whose link ended.
    void on_peer_down(std::string const& peer);
    /// Applies the map of the chunks that an entry of this region caches for agents.
    void on_cache_pieces(std::string const& cache, Schema::PieceMap const&);
    /// Sets the identities of the entries, all of which cache chunks for agents.
    void set_caches(std::set<std::string> caches);
    /// Returns the maps of the chunks held here of the goal's version, and of an older version that is kept for other instances.
    std::vector<Schema::PieceMap> held() const { return m_fetcher.held(); }

    /// The verified chunks held in this process.
    Distribution::ChunkStore const& store() const { return m_fetcher.store(); }
    /// The incarnation of the engine that started then leaves: it is ordered to load nothing more.
    void on_engine_leaving(int64_t started_at_ms) { m_leaving_starts.insert(started_at_ms); }
    /// Answers a peer's HTTP request for the manifest of a version: the digests of its chunks.
    void serve_manifest(Transport::HttpExchange& exchange) const { m_fetcher.serve_manifest(exchange); }

    /// The engine's last report; std::nullopt if the engine did not answer the last request for one.
    std::optional<Platform::EngineReport> const& report() const { return m_report; }
    /// Returns true if the engine should get no new requests because it is loading, or about to load.
    bool is_busy() const;
    /// Returns the highest version of which the engine holds all layers; 0 if there is none, it is not known, or its load was not found
    /// whole by this process.
    int64_t checked_version() const;
    /// Returns the highest version of which the engine held all layers when this process started, if its load has not been checked.
    std::optional<int64_t> unchecked_version() const;
    /// Whether the engine's last report and the goal are known, which tell what the engine holds.
    bool is_version_known() const { return m_report && goal(); }

private:
    /// A version whose chunks are all here and which is being loaded into the engine while a newer one is fetched.
    struct OlderLoad {
        Schema::WeightsGoal goal;
        Core::Time goal_at { 0 };
        Schema::VersionSpec spec;
        std::unique_ptr<Distribution::StagedLoad> load;
    };

    std::optional<Schema::WeightsGoal> const& goal() const { return m_goal.current(); }
    /// Called before the current goal is replaced by a newer one, which was named at `named_at`.
    void on_goal_change(Schema::WeightsGoal const& next, Core::Time named_at);
    Weights::CopyFetcher::Callbacks fetcher_callbacks();
    Weights::CopySources sources() const;
    /// Advances the transfer and the load. Called every 50 ms, and after each event.
    void update();
    void on_manifest();
    /// Returns true if the engine does not serve the version or a newer one yet.
    bool is_seeking(int64_t version) const;
    /// Returns true if some other engine of the goal does not serve the version or a newer one yet.
    bool is_lacked(int64_t version) const;
    bool does_peer_serve(std::string const& peer, int64_t version) const;
    /// Lets the load of the current goal go on after a newer one replaces it, if all its chunks are here.
    void keep_loading_older();
    /// Returns true if the older version is served, has passed its deadline, or can make way for the complete newer one.
    bool is_older_load_over(Core::Time now) const;
    /// Returns the load of a version, or null if it was abandoned.
    Distribution::StagedLoad* load_of(int64_t version);
    Schema::VersionSpec const& spec_of(int64_t version) const;
    /// Returns the highest version of which the engine holds all layers, whole or not; 0 if there is none or it is not known.
    int64_t held_version() const;
    /// Returns the checked or the unchecked version, which needs no other load of the same version; 0 if there is neither.
    int64_t serving_version() const;
    /// Returns true if the engine reported this version in its first report to this process, and has held it since.
    bool is_held_from_start(int64_t version) const;
    /// Notes what a report shows of the loads that were found whole.
    void update_whole_version(Platform::EngineReport const&);
    /// Notes and logs the verdict on the load of a version.
    void note_verdict(Distribution::StagedLoad const&);
    void poll_engine();
    /// Counts and logs a report that failed or has unreadable fields.
    void log_report_fault(Core::ErrorOr<Platform::EngineReport> const&);
    void on_report(Core::ErrorOr<Platform::EngineReport> const&, Core::Time requested_at);
    void apply_report(Core::ErrorOr<Platform::EngineReport> const&, Core::Time requested_at);
    /// Applies the engine's last report to a load, which may be null.
    void apply_to_load(Distribution::StagedLoad*);
    void log_restart(std::optional<int64_t> started_at_ms);
    /// Returns true if the report shows that the engine has restarted since the last one.
    bool is_restart(Platform::EngineReport const&) const;
    void log_order_sequence(std::optional<int64_t> sequence);
    /// Logs that a load is dropped while calls of it are in flight or its order may still take effect.
    static void log_dropped(Distribution::StagedLoad const&);
    /// Reads back the chunks that an earlier process wrote to the engine's staging area, and keeps those that belong to the goal's version.
    void adopt_staged();
    void begin_transfer();
    /// Executes the steps of the load that are due: staging chunks, reading them back, and ordering the engine.
    void run_load(Core::Time now);
    /// @param may_order whether the engine may be ordered anything, or written to.
    void run_step(Distribution::StagedLoad&, Schema::WeightsGoal const&, Core::Time goal_at, bool may_order, Core::Time now);
    bool is_engine_leaving() const { return m_started_at_ms && m_leaving_starts.contains(*m_started_at_ms); }
    /// Returns true unless the process resumed after a pause less than 3 s ago and has not received the goal since.
    bool is_goal_current(Core::Time now);
    void perform(Distribution::LoadAction const&, int64_t version);
    void stage(int64_t version, size_t chunk);
    void read_back(int64_t version, size_t chunk);
    void order(int64_t version, Distribution::OrderLoad const&);
    void hold_layer(int64_t version, Distribution::OrderHoldLayer const&);
    /// Returns true if this engine may stop serving to load the goal: near the deadline, or if enough peers serve.
    bool may_switch(Schema::WeightsGoal const&, Core::Time goal_at, Core::Time now) const;
    /// Announces to the peers which version the engine serves, or that it serves none and seeks the goal's version.
    void announce_served_version();
    /// Logs and publishes a change of the served version, of the engine's start or of whether it is busy.
    void publish_changes();

    WeightsLoaderSettings m_settings;
    Core::Metrics& m_metrics;
    Platform::EngineApi& m_engine;
    Callbacks m_callbacks;

    Distribution::UnreachedVersions m_unreached_versions;
    Distribution::StagingArea m_staging_area;
    std::unique_ptr<Distribution::StagedLoad> m_load;
    Weights::CopyFetcher m_fetcher;
    Weights::CopyGoal m_goal;
    // The identities of the entries, and of those of them in this region.
    std::set<std::string> m_caches;
    std::set<std::string> m_caches_in_region;
    // The version that each peer's engine serves, according to the peer.
    std::map<std::string, int64_t> m_peer_versions;
    std::optional<OlderLoad> m_older;
    // Whether the chunks that an earlier process wrote to the engine's staging area have been read back, or are being read back.
    bool m_has_adopted { false };
    // Number of such chunks whose reading has not ended.
    size_t m_adopting { 0 };

    // The version that the engine holds, if its load was found whole; otherwise 0.
    int64_t m_whole_version { 0 };
    // What the engine held in its first report to this process, as long as it holds that and no check has put it in doubt. Empty if it was
    // loading then: another process ordered that load, and may have died before it checked it.
    std::optional<std::vector<Schema::HeldLayers>> m_held_from_start;
    bool m_has_been_reported { false };
    // The version and the verdict last logged.
    std::pair<int64_t, Distribution::LoadCheck::Verdict> m_logged_verdict { 0, Distribution::LoadCheck::Verdict::Open };

    std::optional<Platform::EngineReport> m_report;
    Core::Time m_report_requested_at { 0 };
    // The error of the last report; empty if there was none.
    std::string m_report_fault;
    // The engine's start time as last reported, in milliseconds since the epoch, and the one last published to the entries.
    std::optional<int64_t> m_started_at_ms;
    std::optional<int64_t> m_published_start;
    // The starts of the incarnations that are known to leave. An entry may tell of an earlier one late.
    std::set<int64_t> m_leaving_starts;
    // The sequence number of orders last reported.
    std::optional<int64_t> m_order_sequence;
    int64_t m_last_version { -1 };
    int64_t m_last_checked_version { -1 };
    bool m_was_busy { false };
    bool m_is_polling { false };
    // Number of the current request for a report. Responses to earlier requests are ignored.
    uint64_t m_poll_number { 0 };
    // When the process resumed after a pause; empty if an entry has sent the goal since.
    std::optional<Core::Time> m_resumed_at;
    std::unique_ptr<Core::Timer> m_update_timer;
    std::unique_ptr<Core::Timer> m_poll_timer;
};

}
