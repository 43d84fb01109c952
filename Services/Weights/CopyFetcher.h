// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "PeerChunks.h"
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibDistribution/ChunkStore.h>
#include <LibDistribution/Transfer.h>
#include <LibDistribution/TransferProgress.h>
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

/// Settings of a CopyFetcher.
struct CopyFetcherSettings {
    /// Identity of this instance.
    std::string identity;
    /// Port on which every instance serves chunks and manifests.
    uint16_t chunk_port { 0 };
    /// This instance is a cache: it keeps the copy only for other instances.
    bool is_cache { false };
    Distribution::TransferSettings transfer;
};

/// The identities of the instances that exchange a version's chunks.
struct CopySources {
    /// Instances that want the version, including this one if it does.
    std::vector<std::string> targets;
    /// Instances in this region, including this one.
    std::vector<std::string> same_region;
    /// Caches: instances that keep a copy for others.
    std::vector<std::string> caches;
};

/// Fetches and verifies the chunks of one version of a model's weights from peers and the origin, and of a newer version when it is set.
///
/// The previous version is kept and announced as long as some other instance lacks it. Otherwise an instance that is behind the others
/// could read it only from the origin, which may be slow or unreachable.
class CopyFetcher {
public:
    struct Callbacks {
        /// Announces newly held chunks to peers. The first announcement of a version may contain no chunk.
        std::function<void(Schema::PieceMap const&)> announce;
        /// Announces newly held chunks to peers in other regions. It is called at once for chunks read from the origin, and at most every
        /// 500 ms for others. If null, `announce` serves the peers in all regions.
        std::function<void(Schema::PieceMap const&)> announce_to_other_regions {};
        /// The manifest of the wanted version has been received. The transfer starts when `begin()` is called.
        std::function<void()> manifest_accepted;
        /// The verified chunk with this index in the wanted version is held.
        std::function<void(size_t chunk)> chunk_held;
        /// Returns whether this instance still needs a version's chunks.
        std::function<bool(int64_t version)> is_seeking;
        /// Returns whether some other instance may still need a version that is older than the wanted one.
        std::function<bool(int64_t version)> is_lacked;
        /// Returns another version whose chunks this instance still uses, or nullptr.
        std::function<Schema::VersionSpec const*()> also_used;
        /// Returns the instances that currently take part in the exchange.
        std::function<CopySources()> sources;
    };

    CopyFetcher(Core::EventLoop&, CopyFetcherSettings, Core::Metrics&, Platform::WeightOrigin&, Callbacks);
    ~CopyFetcher();

    /// Sets the wanted version, which the operator named in the log records at `named_at`. Chunks that both versions have are kept. If the
    /// version is the current one, only its other properties are updated.
    void set_goal(Schema::WeightsGoal const&, Core::Time named_at);
    /// Queries the `sources` callback again after the instances have changed.
    void update_sources();

    /// Adds a chunk of the wanted version from bytes that were found on this machine. The manifest must be known.
    /// @return false if the bytes do not match the chunk's digest, or the chunk was already held.
    bool add_local_chunk(size_t chunk, std::string const& bytes);
    /// Starts the transfer of the missing chunks. The manifest must be known.
    void begin();

    /// Requests the manifest, starts and cancels reads, and sends announcements, as they are due. Must be called every few tens of
    /// milliseconds.
    void advance(Core::Time now);
    /// Drops the older version if no other instance lacks it any more.
    void drop_older_if_unneeded();

    /// Records that a peer has announced chunks of a version.
    void on_peer_pieces(std::string const& peer, Schema::PieceMap const&);
    /// Records that a peer can no longer be reached.
    void on_peer_down(std::string const& peer);

    /// Returns the held chunks of the older version, if one is kept, and of the wanted version, if its manifest is known.
    std::vector<Schema::PieceMap> held() const;
    bool has_manifest() const { return m_wanted.has_value(); }
    /// Whether the version can be fetched: its manifest is known, or a peer has announced the version.
    bool can_be_fetched() const { return has_manifest() || (m_goal && !peers_with_manifest().empty()); }
    /// Returns the state of the wanted version's transfer, for deciding whether a transfer of the version `newer` should wait for it.
    Distribution::TransferProgress transfer_progress(int64_t newer, Core::Time now) const;
    bool is_complete() const { return m_transfer && m_transfer->is_complete(); }
    /// The manifest and the chunks of the wanted version. has_manifest() must be true.
    Platform::Manifest const& manifest() const { return m_wanted->manifest; }
    Schema::VersionSpec const& spec() const { return m_wanted->spec; }
    Distribution::ChunkStore const& store() const { return m_store; }
    /// Answers a peer's request for the manifest of the version in the query parameter `version`, or of the wanted version if there is
    /// none. Answers 404 if that manifest is not known.
    void serve_manifest(Transport::HttpExchange&) const;

private:
    /// A version whose manifest, and thus the digests of its chunks, is known.
    struct KnownVersion {
        Platform::Manifest manifest;
        Schema::VersionSpec spec;
    };

    struct Download {
        std::unique_ptr<Transport::HttpCall> call;
        Distribution::IncomingChunk bytes;
        int status { 0 };
    };

    void request_manifest(Core::Time now);
    bool should_wait_for_cache(Core::Time now) const;
    std::vector<std::string> peers_with_manifest() const;
    void read_manifest_from_origin();
    void read_manifest_from_peer(std::string const& peer);
    void accept_manifest(Platform::Manifest const&, std::string const& source);
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
    Schema::PieceMap piece_map_of(KnownVersion const&) const;
    void announce_new_chunks();
    void announce_new_chunks_to_other_regions(Core::Time now);
    Schema::PieceMap announcement_of(std::vector<int64_t> chunks) const;
    void log_origin_change(Core::ErrorOr<std::string> const& answer);
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
    // When this process set the version as its goal.
    Core::Time m_goal_set_at { 0 };
    std::optional<KnownVersion> m_wanted;
    // A previous version that is kept for other instances. A complete one is not replaced by an incomplete one.
    std::optional<KnownVersion> m_older;
    Core::Time m_next_manifest_attempt { 0 };
    size_t m_manifest_attempts { 0 };
    Distribution::ChunkStore m_store;
    std::unique_ptr<Distribution::Transfer> m_transfer;
    PeerChunks m_peer_chunks;
    std::map<uint64_t, std::unique_ptr<Download>> m_downloads;
    std::map<uint64_t, size_t> m_fetch_chunks;
    // The origin's ids of the reads from it that are in flight, by fetch id.
    std::map<uint64_t, uint64_t> m_origin_reads;
    // Chunks that were not announced to peers yet.
    std::vector<int64_t> m_unannounced;
    // Chunks that were not announced to peers in other regions yet, and whether some of them came from the origin.
    std::vector<int64_t> m_unannounced_to_other_regions;
    bool m_has_unannounced_origin_chunk { false };
    Core::Time m_announced_to_other_regions_at { 0 };
    bool m_is_complete_logged { false };
    bool m_is_origin_failing { false };
    Core::Time m_progress_logged_at { 0 };
};

}
