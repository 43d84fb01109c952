// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibDistribution/ReadRanks.h>
#include <LibDistribution/ReadTimes.h>
#include <LibDistribution/Source.h>
#include <LibDistribution/SourceBackoff.h>
#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Distribution {

/// Start reading a chunk from a source.
struct Fetch {
    /// Identifies the read in on_progress(), on_fetched(), on_failed() and CancelFetch.
    uint64_t id { 0 };
    size_t chunk { 0 };
    Source source;
    /// The chunk is already being read from another source, which is slow.
    bool is_duplicate { false };
};

/// Stop a read that has stalled or whose chunk has arrived from another source.
struct CancelFetch {
    uint64_t id { 0 };
};

using TransferAction = std::variant<Fetch, CancelFetch>;

/// Limits and timeouts of a Transfer. Durations are in milliseconds.
struct TransferSettings {
    Schema::Strategy strategy { Schema::Strategy::Swarm };
    /// Maximum number of reads in flight in all, and of those from the origin.
    size_t fetches_in_flight { 4 };
    size_t origin_fetches_in_flight { 1 };
    /// Maximum number of reads in flight while some cache holds chunks. Caches have fast links, so that few reads fill this instance's
    /// link; more would only queue there in front of its requests and answers. If 0, `fetches_in_flight` applies.
    size_t fetches_with_caches { 0 };
    /// If a chunk takes on average longer than this from its first bytes to its last, divided by the number of reads that share this
    /// instance's link, the link counts as slow, and chunks are read one at a time. If 0, no link counts as slow.
    Core::Duration slow_link { 0 };
    /// Maximum number of reads from peers while this instance still has to read chunks from the origin for the others: both share its link,
    /// and all others wait for the chunks from the origin. If 0, there is no such limit.
    size_t peer_fetches_while_seeding { 0 };
    /// Number of instances that divide the reads from the origin among themselves.
    size_t seeders { 4 };
    /// How long the instance with rank 1 waits before it reads a chunk that no neighbour holds from the origin. The wait grows by the same
    /// time whenever the rank doubles.
    Core::Duration origin_wait { 2000 };
    /// The next chunk to read from a peer is the one with the fewest holders in a random sample of this size. If 0, the sample is all
    /// chunks: then all instances request the newest chunk from its few holders, and the uplinks of the other instances are idle.
    size_t rarity_sample { 0 };
    /// How long the instance with rank 1 in its region waits before it reads a chunk that no peer in the region holds from another region.
    /// The wait grows with the rank like `origin_wait`.
    Core::Duration cross_region_wait { 400 };
    /// Longest backoff from a peer. The backoff doubles with each failure in a row.
    Core::Duration max_peer_backoff { 16000 };
    /// A read that has received nothing for this time is cancelled, and its source is backed off from.
    Core::Duration stall_timeout { 2000 };
    /// The corresponding time for a read from the origin, which reports no progress before the whole chunk has arrived, and which sends to
    /// many instances at once. If 0, `stall_timeout` applies.
    Core::Duration origin_stall_timeout { 0 };
};

/// Decides which chunk of one version this instance reads next, and from which source.
///
/// A few seeders read from the origin. All instances compute the same seeders by rendezvous hashing over the caches, or over the instances
/// that want the version if there are no caches. They are few so that some chunks arrive early and complete, rather than all chunks late
/// and together. For each chunk the instances are ranked, the seeders first: rank 0 reads the chunk from the origin at once, the others
/// only if no neighbour holds it, nothing else arrives, and a wait that grows with the logarithm of their rank has passed.
/// All other chunks are read from neighbours, those with the fewest holders first.
class Transfer {
public:
    /// @param self the id of this instance.
    /// @param targets the ids of the instances that want the version.
    /// @param held the indices of the chunks that this instance already holds; each must be a valid index.
    Transfer(Schema::VersionSpec const&, std::string self, std::vector<std::string> targets, std::vector<int64_t> const& held, TransferSettings, uint64_t seed, Core::Time now);

    /// Replaces the list of instances that want the version.
    void set_targets(std::vector<std::string> targets);

    /// Sets the instances of this region, including this one. Traffic between regions is expensive, so one instance reads each chunk from
    /// another region, and the others read it within the region. If empty, regions are ignored.
    void set_region_instances(std::vector<std::string> const& region_instances);

    /// Sets the instances that keep a copy of the version for others and have fast links. They read from the origin before all other
    /// instances, read their region's one copy from another region, and are preferred to other peers as sources. Empty if there are no
    /// caches.
    void set_caches(std::vector<std::string> caches);

    /// Records that a neighbour holds these chunks in addition to those that it announced before. Indices that the version does not have
    /// are ignored.
    void on_peer_chunks(std::string const& peer, std::vector<int64_t> const& chunks);
    /// Records that a neighbour, and thus the chunks that it held, can no longer be reached.
    void on_peer_lost(std::string const& peer);

    /// Records that some bytes of a read arrived. Like the next two functions, it ignores reads that have ended or were cancelled.
    void on_progress(uint64_t fetch, Core::Time now);
    /// Records that a read completed and its bytes matched the chunk's digest.
    void on_fetched(uint64_t fetch, Core::Time now);
    /// Records that a read failed, and starts the backoff from its source. After Missing, a peer only stops counting as a holder of the
    /// chunk, without a backoff.
    void on_failed(uint64_t fetch, FetchFailure, Core::Time now);

    /// Cancels the reads that have stalled or whose chunk is already held. Returns these cancellations and the reads to start now.
    std::vector<TransferAction> step(Core::Time now);

    bool is_complete() const { return m_held_count == m_chunks.size(); }
    size_t held_count() const { return m_held_count; }
    size_t chunk_count() const { return m_chunks.size(); }
    bool holds(size_t chunk) const { return m_chunks[chunk].is_held; }

    /// Counts of the missing chunks that no neighbour holds.
    struct Unheld {
        size_t chunks { 0 };
        /// Those of them for which this instance has rank 0, so that it reads them from the origin without waiting.
        size_t assigned { 0 };
    };
    Unheld unheld() const;

    /// Whether chunks are missing, no read is in flight, and none has completed for half of `stall_timeout`. Other neighbours may then
    /// hold chunks that the current ones do not.
    bool is_starved(Core::Time now) const;

private:
    struct ChunkState {
        bool is_held { false };
        // Reads in flight.
        size_t fetches { 0 };
        // A duplicate of a slow read was started, so that the chunk's bytes may be received twice.
        bool has_duplicate { false };
        // Number of neighbours that hold the chunk.
        size_t holders { 0 };
        // Number of those that are in this region.
        size_t region_holders { 0 };
        Core::Time without_holder_since { 0 };
    };

    struct PeerState {
        std::set<size_t> chunks;
        size_t fetches { 0 };
    };

    struct RunningRead {
        size_t chunk { 0 };
        Source source;
        Core::Time started { 0 };
        Core::Time last_progress { 0 };
        std::optional<Core::Time> first_bytes;
    };

    /// Ends this instance's wait as a backup reader of the origin, if `reader`, a chunk's first holder, is in the same backup group.
    void join_backup_readers(std::string const& reader);
    void end_fetch(uint64_t id);
    /// Starts the backoff from a source after a failure.
    void back_off_from(Source const&, FetchFailure, Core::Time now);
    void cancel_stalled(Core::Time now, std::vector<TransferAction>&);
    bool start_from_peer(Core::Time now, std::vector<TransferAction>&);
    bool start_from_origin(Core::Time now, std::vector<TransferAction>&);
    void refund_duplicate(RunningRead const& ended);
    bool is_slow(RunningRead const&, Core::Time now) const;
    bool start_duplicate(Core::Time now, std::vector<TransferAction>&);
    std::string choose_peer(size_t chunk, Core::Time now, std::string const& except);
    Fetch begin(size_t chunk, Source, Core::Time now);
    bool may_read_from_peer(size_t chunk, std::string const& peer, Core::Time now) const;
    bool may_read_from_origin(size_t chunk, Core::Time now) const;
    Core::Duration stall_timeout_of(Source const&) const;
    size_t origin_fetch_limit() const;
    size_t running_from_origin() const;
    bool has_origin_chunks_to_read() const;
    bool has_cache_with_chunks() const;
    size_t fetch_limit() const;

    ReadRanks m_ranks;
    TransferSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<ChunkState> m_chunks;
    std::map<std::string, PeerState> m_peers;
    std::map<uint64_t, RunningRead> m_running;
    SourceBackoff m_backoff;
    ReadTimes m_times;
    size_t m_held_count { 0 };
    // Number of duplicate reads that may still be started.
    size_t m_duplicates_left { 0 };
    uint64_t m_next_fetch { 1 };
    Core::Time m_last_completed_at { 0 };
    Core::Time m_origin_failed_at { 0 };
    // Failed reads from the origin since the last successful one.
    int64_t m_origin_failures { 0 };
    // How many times `origin_wait` this instance has already waited before it read from the origin in place of others.
    // Chunks for which no longer wait is due are read without another wait.
    int64_t m_origin_steps_waited { 0 };
};

}
