// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "PeerChunks.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibDistribution/ChunkStore.h>
#include <LibDistribution/GoalOrder.h>
#include <LibDistribution/Transfer.h>
#include <LibPlatform/EngineApi.h>
#include <LibSchema/Generated.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Weights {

struct CopyFetcherSettings {
    std::string identity;
    /// Port at which every instance serves chunks and manifests.
    uint16_t chunk_port { 0 };
    /// This instance keeps the copy for others.
    bool is_cache { false };
    Distribution::TransferSettings transfer;
};

/// The other instances that a copy may come from.
struct CopySources {
    /// Those that want the version, this one among them if it does.
    std::vector<std::string> targets;
    /// Those in this region, this one among them.
    std::vector<std::string> near;
    /// Those that keep a copy for others.
    std::vector<std::string> caches;
};

/// Brings the chunks of one version here, from peers and the origin, verified; then those of the next version.
///
/// An older version that is whole here is kept and told of for as long as some instance lacks it: one that is behind the
/// others would else be left with the origin alone, which may be slow or gone.
class CopyFetcher {
public:
    struct Callbacks {
        /// Chunks came, to be told to peers; also the first word on a version, with no chunk yet.
        std::function<void(Schema::PieceMap const&)> announce;
        /// The same for far away peers, who need to know at once only of what came from the origin, and of the rest in time.
        /// Null where all are told by `announce`.
        std::function<void(Schema::PieceMap const&)> announce_far {};
        /// The manifest of the version that is wanted is known. The transfer waits for `begin()`.
        std::function<void()> manifest_taken;
        /// A chunk of the version is here.
        std::function<void(size_t chunk)> chunk_held;
        /// Whether a version's chunks are still needed here.
        std::function<bool(int64_t version)> is_seeking;
        /// Whether some other instance may still need a version that is older than the wanted one.
        std::function<bool(int64_t version)> is_lacked;
        /// Another version whose chunks this instance still uses, or null.
        std::function<Schema::VersionSpec const*()> also_used;
        std::function<CopySources()> sources;
    };

    CopyFetcher(Core::EventLoop&, CopyFetcherSettings, Core::Metrics&, Platform::WeightOrigin&, Callbacks);
    ~CopyFetcher();

    /// Turns to a newer version, named at a time; what both versions have stays.
    void set_goal(Schema::WeightsGoal const&, Core::Time named_at);
    /// The instances have changed.
    void update_sources();

    /// Takes a chunk that was found here. @return false if it is not the version's.
    bool adopt(size_t chunk, std::string const& bytes);
    /// Starts the transfer of what is missing.
    void begin();

    /// Asks for what is due. To be called every few tens of milliseconds.
    void turn(Core::Time now);
    /// Lets the older version go once nobody lacks it any more.
    void drop_older_if_unneeded();

    void on_peer_pieces(std::string const& peer, Schema::PieceMap const&);
    void on_peer_down(std::string const& peer);

    /// What is held here of the version that is wanted, once its manifest is known, and of the older one.
    std::vector<Schema::PieceMap> held() const;
    bool has_manifest() const { return m_wanted.has_value(); }
    /// The version can be had: its manifest is here, or some instance has told of it.
    bool is_under_way() const { return has_manifest() || (m_goal && !peers_with_manifest().empty()); }
    /// How far the version is, to be weighed against a newer one.
    Distribution::TransferStand stand(int64_t newer, Core::Time now) const;
    bool is_complete() const { return m_transfer && m_transfer->is_complete(); }
    Platform::Manifest const& manifest() const { return m_wanted->manifest; }
    Schema::VersionSpec const& spec() const { return m_wanted->spec; }
    Distribution::ChunkStore const& store() const { return m_store; }
    /// Answers a peer's request for the manifest of a version; of the wanted one if it names none.
    void serve_manifest(Transport::HttpExchange&) const;

private:
    /// A version whose chunks are known by their digests.
    struct KnownVersion {
        Platform::Manifest manifest;
        Schema::VersionSpec spec;
    };

    struct Download {
        std::unique_ptr<Transport::HttpCall> call;
        Distribution::IncomingChunk bytes;
        int status { 0 };
    };

    void seek_manifest(Core::Time now);
    bool awaits_cache(Core::Time now) const;
    std::vector<std::string> peers_with_manifest() const;
    void read_manifest_from_origin();
    void read_manifest_from_peer(std::string const& peer);
    void take_manifest(Platform::Manifest const&, std::string const& source);
    void run_transfer(Core::Time now);
    void start_fetch(Distribution::Fetch const&);
    void fetch_from_origin(Distribution::Fetch const&);
    void cancel_origin_reads();
    void fetch_from_peer(Distribution::Fetch const&);
    void on_bytes(uint64_t fetch, Distribution::IncomingChunk&, bool is_from_origin);
    void on_fetch_failed(uint64_t fetch, Distribution::FetchFailure);
    void hold_chunk(size_t chunk, bool is_from_origin);
    bool is_whole(KnownVersion const&) const;
    void keep_as_older();
    void keep_needed_chunks();
    Schema::PieceMap map_of(KnownVersion const&) const;
    void announce_news();
    void announce_news_far(Core::Time now);
    Schema::PieceMap news(std::vector<int64_t> chunks) const;
    void note_origin(Core::ErrorOr<std::string> const& answer);
    void log_progress(Core::Time now);
    void log_complete() const;

    Core::EventLoop& m_loop;
    CopyFetcherSettings m_settings;
    Core::Metrics& m_metrics;
    Platform::WeightOrigin& m_origin;
    Callbacks m_callbacks;
    Transport::HttpClient m_client;

    std::optional<Schema::WeightsGoal> m_goal;
    Core::Time m_named_at { 0 };
    // When this process turned to the version.
    Core::Time m_turned_at { 0 };
    std::optional<KnownVersion> m_wanted;
    // The version before that is kept for others, a whole one if there was one.
    std::optional<KnownVersion> m_older;
    Core::Time m_next_manifest_try { 0 };
    size_t m_manifest_tries { 0 };
    Distribution::ChunkStore m_store;
    std::unique_ptr<Distribution::Transfer> m_transfer;
    PeerChunks m_peer_chunks;
    std::map<uint64_t, std::unique_ptr<Download>> m_downloads;
    std::map<uint64_t, size_t> m_fetch_chunks;
    // Reads of the origin under way, by fetch.
    std::map<uint64_t, uint64_t> m_origin_reads;
    // Chunks that peers have not been told of yet.
    std::vector<int64_t> m_unannounced;
    // The same of far away peers, and whether some of it came from the origin.
    std::vector<int64_t> m_unannounced_far;
    bool m_has_origin_news { false };
    Core::Time m_announced_far_at { 0 };
    bool m_is_complete_told { false };
    bool m_is_origin_failing { false };
    Core::Time m_progress_told_at { 0 };
};

}
