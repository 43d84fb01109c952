// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <set>
#include <string>
#include <vector>

namespace Distribution {

/// The order in which instances may read each chunk of a version from the origin and from far away, the same everywhere.
///
/// A few seeders, chosen by rendezvous hashing, come first for the origin: caches if there are any, else the instances
/// that want the version. Chunks are dealt among them in turn, so that all have as many to read and none is left to read
/// alone at the end, which fills the origin's link only in part. Whoever comes behind stands in for all before, in groups
/// that double in size, with the chunks dealt within a group in the same way.
class ReadRanks {
public:
    ReadRanks(Schema::VersionSpec const&, std::string self, std::vector<std::string> targets, size_t seeders);

    void set_targets(std::vector<std::string> targets);
    void set_near(std::vector<std::string> const& near);
    void set_caches(std::vector<std::string> caches);

    /// This instance's rank for reading a chunk from the origin; 0 reads it at once.
    size_t origin_rank(size_t chunk) const { return m_origin_ranks[chunk]; }
    /// Whether a peer and this instance are caches that stand in for the same lost readers of the origin.
    bool stands_in_beside(std::string const& peer) const;
    /// The best rank of this instance for any chunk; 0 for a seeder.
    size_t best_origin_rank() const { return m_best_origin_rank; }

    /// This instance's rank among those near by for reading a chunk from far away.
    size_t far_rank(size_t chunk) const { return m_far_ranks[chunk]; }

    bool is_first_target() const { return !m_targets.empty() && m_targets.front() == m_self; }
    bool are_all_near() const { return m_near.empty(); }
    bool is_near(std::string const& instance) const { return m_near.contains(instance); }
    bool is_cache(std::string const& instance) const;
    std::vector<std::string> const& caches() const { return m_caches; }

private:
    void rank_origin_reads();
    /// Where the group of those begins that stand in beside the one at a position; 0 for the seeders.
    size_t group_begin(size_t position) const;
    size_t position_of(std::string const& reader) const;
    size_t rank_at(size_t position, size_t chunk) const;
    void rank_far_reads();
    size_t rank_among(std::vector<std::string> const&, std::string const& digest) const;

    std::string m_self;
    size_t m_seeders;
    std::string m_version_digest;
    std::vector<std::string> m_digests;
    std::vector<std::string> m_targets;
    std::set<std::string> m_near;
    std::vector<std::string> m_caches;
    // All who may read from the origin, the seeders first.
    std::vector<std::string> m_readers;
    size_t m_seeder_count { 1 };
    size_t m_best_origin_rank { 0 };
    std::vector<size_t> m_origin_ranks;
    std::vector<size_t> m_far_ranks;
};

}
