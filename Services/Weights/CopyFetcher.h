// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibDistribution/ChunkStore.h>
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
class CopyFetcher {
public:
    struct Callbacks {
        /// Chunks came, to be told to peers; also the first word on a version, with no chunk yet.
        std::function<void(Schema::PieceMap const&)> announce;
        /// The manifest of the version that is wanted is known. The transfer waits for `begin()`.
        std::function<void()> manifest_taken;
        /// A chunk of the version is here.
        std::function<void(size_t chunk)> chunk_held;
        /// Whether the version's chunks are still needed here.
        std::function<bool()> is_seeking;
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
    /// Starts the transfer of what is missing, and keeps the chunks of another version too, if one is given.
    void begin(Schema::VersionSpec const* also_kept);

    /// Asks for what is due. To be called every few tens of milliseconds.
    void turn(Core::Time now);

    void on_peer_pieces(std::string const& peer, Schema::PieceMap const&);
    void on_peer_down(std::string const& peer);

    /// What is held here of the version that is wanted; nothing before its manifest is known.
    std::optional<Schema::PieceMap> held() const;
    bool has_manifest() const { return m_manifest.has_value(); }
    /// The version can be had: its manifest is here, or some instance has told of it.
    bool is_under_way() const { return has_manifest() || (m_goal && !peers_with_manifest().empty()); }
    bool is_complete() const { return m_transfer && m_transfer->is_complete(); }
    Platform::Manifest const& manifest() const { return *m_manifest; }
    Schema::VersionSpec const& spec() const { return *m_spec; }
    Distribution::ChunkStore const& store() const { return m_store; }
    /// The manifest as text, for peers; empty while there is none.
    std::string const& manifest_text() const { return m_manifest_text; }

private:
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
    void fetch_from_peer(Distribution::Fetch const&);
    void on_bytes(uint64_t fetch, Distribution::IncomingChunk&, bool is_from_origin);
    void on_fetch_failed(uint64_t fetch, Distribution::FetchFailure);
    void hold_chunk(size_t chunk);
    void announce_news();
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
    std::optional<Platform::Manifest> m_manifest;
    std::string m_manifest_text;
    Core::Time m_manifest_asked_at { 0 };
    size_t m_manifest_tries { 0 };
    std::optional<Schema::VersionSpec> m_spec;
    Distribution::ChunkStore m_store;
    std::unique_ptr<Distribution::Transfer> m_transfer;
    // Chunks of peers, by peer and version.
    std::map<std::string, std::pair<int64_t, std::set<int64_t>>> m_peer_chunks;
    std::map<uint64_t, std::unique_ptr<Download>> m_downloads;
    std::map<uint64_t, size_t> m_fetch_chunks;
    // Chunks that peers have not been told of yet.
    std::vector<int64_t> m_unannounced;
    bool m_is_complete_told { false };
    bool m_is_origin_failing { false };
    Core::Time m_progress_told_at { 0 };
};

}
