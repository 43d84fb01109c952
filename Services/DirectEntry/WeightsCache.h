// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "../Weights/ChunkServer.h"
#include "../Weights/CopyFetcher.h"
#include "../Weights/CopyGoal.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/EngineApi.h>
#include <LibSchema/Generated.h>
#include <LibTransport/HttpServer.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace DirectEntry {

struct WeightsCacheSettings {
    std::string identity;
    /// Port at which every instance serves chunks and manifests.
    uint16_t chunk_port { 0 };
    /// Bandwidth that uploads of weights may use, bytes per second.
    int64_t bytes_per_second { 0 };
};

/// Caches the weights of each model's newest version at an entry while engines still need them, and the previous version while some
/// engine does not serve it yet.
///
/// An engine's network link carries both what it receives and what it uploads to peers, so a transfer among engines alone takes
/// twice the time that one copy needs on a link. An entry's network link is wider: with a copy at each entry, of which one in all is
/// read from the origin and one is transferred to each region, the engines only receive.
class WeightsCache {
public:
    struct Callbacks {
        /// Sends which chunks are held here to the entries and the agents of this region.
        std::function<void(Schema::PieceMap const&)> announce;
        /// Sends which chunks are held here to the entries of other regions.
        std::function<void(Schema::PieceMap const&)> announce_to_other_regions;
        /// Whether some engine of a service does not serve this version or a newer one yet, or no engine is known to serve it any more; an
        /// engine that serves none counts.
        std::function<bool(std::string const& service, int64_t version)> is_wanted;
        /// Whether no engine of a service is known to serve this version or a newer one, from the report of a linked agent.
        std::function<bool(std::string const& service, int64_t version)> is_lost;
        /// Notices a pause of the process that has just ended. What was reported before it says nothing about the engines.
        std::function<void()> detect_pause;
        /// Returns all linked entries, and those of this region, each with this one included.
        std::function<Weights::CopySources()> sources;
    };

    WeightsCache(Core::EventLoop&, WeightsCacheSettings, Core::Metrics&, Platform::WeightOrigin&, Callbacks);
    ~WeightsCache();

    /// Brings the copy of the goal's model to the goal's version, which was named at `named_at`.
    void set_goal(Schema::WeightsGoal const&, Core::Time named_at);
    /// Sets the goal of a service of whose model no version was named. Most engines hold the initial version already and new ones fetch it
    /// from their peers, so it is cached only once it is lost.
    void set_initial_goal(Schema::WeightsGoal const&, Core::Time named_at);
    /// The entries that copies are fetched from have changed.
    void update_sources();
    /// A peer announced which chunks of a model it holds.
    void on_peer_pieces(std::string const& peer, Schema::PieceMap const&);
    void on_peer_down(std::string const& peer);

    /// Returns which chunks are held here, to be sent to a newly linked peer.
    std::vector<Schema::PieceMap> held() const;

    /// Answers an HTTP request for a chunk or a manifest, with status 404 if it is not held here.
    /// @return false if it is for neither and was not answered.
    bool serve(std::shared_ptr<Transport::HttpExchange> const&);

private:
    struct Copy {
        std::unique_ptr<Weights::CopyFetcher> fetcher;
        std::unique_ptr<Weights::CopyGoal> goal;
        std::unique_ptr<Weights::ChunkServer> server;
    };

    struct InitialGoal {
        Schema::WeightsGoal goal;
        Core::Time named_at { 0 };
    };

    void advance_transfers();
    /// Caches the initial versions that are lost now.
    void cache_lost_versions();
    Copy& copy_of(std::string const& model);
    /// Whether engines of the copy's service want this version, see Callbacks::is_wanted.
    bool is_wanted(Copy const&, int64_t version) const;
    bool serve_chunk(std::shared_ptr<Transport::HttpExchange> const&, std::string const& digest);

    Core::EventLoop& m_loop;
    WeightsCacheSettings m_settings;
    Core::Metrics& m_metrics;
    Platform::WeightOrigin& m_origin;
    Callbacks m_callbacks;
    Core::Time m_started_at;
    // Copies by model.
    std::map<std::string, Copy> m_copies;
    // The goals of initial versions that are not cached, by service.
    std::map<std::string, InitialGoal> m_initial_goals;
    std::unique_ptr<Core::Timer> m_update_timer;
};

}
