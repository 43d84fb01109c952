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
    /// Bandwidth that weights may take, bytes a second.
    int64_t bytes_per_second { 0 };
};

/// A copy of each model's newest version, held by an entry while engines still want it, and of the one before it while
/// some engine lacks that.
///
/// An engine's link carries what it receives and what it passes on to peers, so among engines alone a version takes
/// twice the time that one copy needs on a link. An entry's link is wider: with a copy at each entry, one read from the
/// origin in all and one brought to each region, the engines only receive.
class WeightsCache {
public:
    struct Callbacks {
        /// To be told to the other entries and to the agents of this region.
        std::function<void(Schema::PieceMap const&)> announce;
        /// To be told to the entries of other regions.
        std::function<void(Schema::PieceMap const&)> announce_to_other_regions;
        /// Whether some engine of a service does not serve a version yet.
        std::function<bool(std::string const& service, int64_t version)> is_wanted;
        /// All entries that are known, this one included, and those of this region.
        std::function<Weights::CopySources()> sources;
    };

    WeightsCache(Core::EventLoop&, WeightsCacheSettings, Core::Metrics&, Platform::WeightOrigin&, Callbacks);
    ~WeightsCache();

    void set_goal(Schema::WeightsGoal const&, Core::Time named_at);
    void update_sources();
    void on_peer_pieces(std::string const& peer, Schema::PieceMap const&);
    void on_peer_down(std::string const& peer);

    /// What is held, for a peer that has just come.
    std::vector<Schema::PieceMap> held() const;

    /// Answers a request for a chunk or a manifest. @return false if it is for neither.
    bool serve(std::shared_ptr<Transport::HttpExchange> const&);

private:
    struct Copy {
        std::unique_ptr<Weights::CopyFetcher> fetcher;
        std::unique_ptr<Weights::CopyGoal> goal;
        std::unique_ptr<Weights::ChunkServer> server;
    };

    void turn();
    Copy& copy_of(std::string const& model);
    /// Whether some engine of the copy's service does not serve a version yet.
    bool is_wanted(Copy const&, int64_t version) const;
    bool serve_chunk(std::shared_ptr<Transport::HttpExchange> const&, std::string const& digest);

    Core::EventLoop& m_loop;
    WeightsCacheSettings m_settings;
    Core::Metrics& m_metrics;
    Platform::WeightOrigin& m_origin;
    Callbacks m_callbacks;
    Core::Time m_started_at;
    // By model.
    std::map<std::string, Copy> m_copies;
    std::unique_ptr<Core::Timer> m_turn_timer;
};

}
