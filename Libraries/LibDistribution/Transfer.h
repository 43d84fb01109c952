// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibDistribution/ReadRanks.h>
#include <LibDistribution/ReadTimes.h>
#include <LibDistribution/Source.h>
#include <LibDistribution/SourceFaults.h>
#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Distribution {

/// Start reading a chunk.
struct Fetch {
    uint64_t id { 0 };
    size_t chunk { 0 };
    Source source;
    /// The chunk is being read from another source already, which is slow.
    bool is_duplicate { false };
};

/// Stop a read that is no longer wanted.
struct CancelFetch {
    uint64_t id { 0 };
};

using TransferAction = std::variant<Fetch, CancelFetch>;

struct TransferSettings {
    Schema::Strategy strategy { Schema::Strategy::Swarm };
    /// Chunks read at once, from peers and from the origin.
    size_t fetches_in_flight { 4 };
    size_t origin_fetches_in_flight { 1 };
    /// Chunks read at once while some cache holds chunks: their links are wide, so few reads fill this instance's own, and
    /// more would only queue there before its requests and answers. 0: as from peers.
    size_t fetches_with_caches { 0 };
    /// Where a chunk's bytes take longer than this from the first to the last, divided by the reads that share this
    /// instance's link, the link is narrow, and one read at a time fills it. 0 sets no such limit.
    Core::Duration slow_link { 0 };
    /// Chunks read from peers at once while this instance still owes chunks of the origin to the others: these
    /// reads share its link with what everybody waits for. 0 sets no limit.
    size_t peer_fetches_while_seeding { 0 };
    /// Instances that share the reading from the origin.
    size_t seeders { 4 };
    /// Wait before the second in rank asks the origin for a chunk that no neighbour holds; it grows by as much each time
    /// that the rank doubles.
    Core::Duration origin_patience { 2000 };
    /// The rarest of this many chunks drawn at random is read next; 0 draws all of them. With all, everybody asks the
    /// few holders of the newest chunk, and the other uplinks idle.
    size_t rarity_sample { 0 };
    /// The same before a far peer is asked for a chunk that no near one holds.
    Core::Duration far_patience { 400 };
    /// A source that keeps failing is left alone for twice as long each time, up to this.
    Core::Duration longest_fault_wait { 16000 };
    /// Silence after which a read is given up and its source left alone for a while.
    Core::Duration stall { 2000 };
    /// The same for a read of the origin, which says nothing before the whole chunk is there and sends to many at once.
    /// 0: as for any other.
    Core::Duration origin_stall { 0 };
};

/// Decides which chunk of one version this instance reads next, and from whom.
///
/// A few seeders, the same everywhere by rendezvous hashing over the instances that want the version, read
/// from the origin: few, so that each chunk arrives early and whole instead of all arriving late together.
/// Each chunk has a ranking, the seeders first: the first reads it from the origin at once, the others only if after a
/// patience that grows with the logarithm of their rank no neighbour holds it and nothing better is left to read.
/// All else comes from neighbours, rarest first.
class Transfer {
public:
    Transfer(Schema::VersionSpec const&, std::string self, std::vector<std::string> targets, std::vector<int64_t> const& held, TransferSettings, uint64_t seed, Core::Time now);

    /// The set of instances that want the version changed.
    void set_targets(std::vector<std::string> targets);

    /// The instances near by, this one among them: bytes from any other are dear, so of each chunk one copy comes
    /// from far away and the others from near. Empty: all are near.
    void set_near(std::vector<std::string> const& near);

    /// Instances that keep a copy for the others, with links to spare: they read from the origin before anybody else,
    /// bring a region's one copy from far away, and are asked before other peers. Empty: there are none.
    void set_caches(std::vector<std::string> caches);

    /// A neighbour says that it holds chunks, beyond those that it named before.
    void on_peer_chunks(std::string const& peer, std::vector<int64_t> const& chunks);
    /// A neighbour is gone, with all that it held.
    void on_peer_lost(std::string const& peer);

    /// Some bytes of a read arrived.
    void on_progress(uint64_t fetch, Core::Time now);
    /// A read ended with verified bytes.
    void on_fetched(uint64_t fetch, Core::Time now);
    void on_failed(uint64_t fetch, FetchFailure, Core::Time now);

    /// What to do now.
    std::vector<TransferAction> step(Core::Time now);

    bool is_complete() const { return m_held_count == m_chunks.size(); }
    size_t held_count() const { return m_held_count; }
    size_t chunk_count() const { return m_chunks.size(); }
    bool holds(size_t chunk) const { return m_chunks[chunk].is_held; }

    /// Missing chunks that no neighbour holds, and those of them that are this instance's to read from the origin at once.
    struct Unheld {
        size_t chunks { 0 };
        size_t own { 0 };
    };
    Unheld unheld() const;

    /// True if for some time no neighbour has had anything to offer: other neighbours may.
    bool is_starved(Core::Time now) const;

private:
    struct ChunkState {
        bool is_held { false };
        // Reads under way.
        size_t fetches { 0 };
        // A slow read of it was doubled, which may have cost its bytes twice.
        bool is_doubled { false };
        // Neighbours that hold it.
        size_t holders { 0 };
        // Those of them that are near by.
        size_t near_holders { 0 };
        Core::Time without_holder_since { 0 };
    };

    struct PeerState {
        std::set<size_t> chunks;
        size_t fetches { 0 };
    };

    struct Running {
        size_t chunk { 0 };
        Source source;
        Core::Time started { 0 };
        Core::Time last_progress { 0 };
        std::optional<Core::Time> first_bytes;
    };

    void join_stand_ins(std::string const& reader);
    void end_fetch(uint64_t id);
    void punish(Source const&, FetchFailure, Core::Time now);
    void give_up_stalled(Core::Time now, std::vector<TransferAction>&);
    bool start_from_peer(Core::Time now, std::vector<TransferAction>&);
    bool start_from_origin(Core::Time now, std::vector<TransferAction>&);
    void refund_duplicate(Running const& ended);
    bool is_slow(Running const&, Core::Time now) const;
    bool start_duplicate(Core::Time now, std::vector<TransferAction>&);
    std::string choose_peer(size_t chunk, Core::Time now, std::string const& except);
    Fetch begin(size_t chunk, Source, Core::Time now);
    bool may_ask_peer(size_t chunk, std::string const& peer, Core::Time now) const;
    bool may_ask_origin(size_t chunk, Core::Time now) const;
    Core::Duration stall_of(Source const&) const;
    size_t origin_fetch_limit() const;
    size_t running_from_origin() const;
    bool owes_origin_chunks() const;
    bool has_stocked_cache() const;
    size_t fetch_limit() const;

    ReadRanks m_ranks;
    TransferSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<ChunkState> m_chunks;
    std::map<std::string, PeerState> m_peers;
    std::map<uint64_t, Running> m_running;
    SourceFaults m_faults;
    ReadTimes m_times;
    size_t m_held_count { 0 };
    // Chunks whose bytes may still be read twice.
    size_t m_duplicates_left { 0 };
    uint64_t m_next_fetch { 1 };
    Core::Time m_last_useful { 0 };
    Core::Time m_origin_failed_at { 0 };
    // Reads of the origin that failed since one succeeded.
    int64_t m_origin_failures { 0 };
    // Patience that this instance has shown already before it read from the origin in the place of others.
    int64_t m_origin_steps_waited { 0 };
};

}
