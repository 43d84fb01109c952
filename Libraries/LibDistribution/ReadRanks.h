// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <set>
#include <string>
#include <vector>

namespace Distribution {

/// Ranks the instances for reading each chunk of a version from the origin, and for reading it from another region. All instances compute
/// the same order, and the rank tells this instance how long to wait for those before it.
///
/// For the origin, a few seeders chosen by rendezvous hashing come first: caches if there are any, otherwise the instances that want the
/// version. Chunks are assigned to the seeders round-robin, so that all have equally many to read: a seeder that read alone at the end
/// would use only part of the origin's link. The instances after them are backups for all before them. They form groups that double in
/// size, and within a group chunks are assigned round-robin as well.
class ReadRanks {
public:
    /// @param self the id of this instance.
    /// @param targets the ids of the instances that want the version.
    /// @param seeders the maximum number of seeders.
    ReadRanks(Schema::VersionSpec const&, std::string self, std::vector<std::string> targets, size_t seeders);

    void set_targets(std::vector<std::string> targets);
    /// Sets the instances of this region, including this one. If empty, no instance counts as being in another region.
    void set_region_instances(std::vector<std::string> const& region_instances);
    /// Sets the instances that keep a copy of the version for others without serving it.
    void set_caches(std::vector<std::string> caches);

    /// This instance's rank for reading a chunk from the origin. Rank 0 reads it without waiting.
    size_t origin_rank(size_t chunk) const { return m_origin_ranks[chunk]; }
    /// Whether this instance and the peer are both caches in the same backup group, so that they replace the same readers of the origin.
    bool is_in_same_backup_group(std::string const& peer) const;
    /// The position at which this instance's group begins, which none of its ranks is below; 0 for a seeder.
    size_t best_origin_rank() const { return m_best_origin_rank; }

    /// This instance's rank, among those of its region, for reading a chunk from another region. Rank 0 reads it without waiting.
    size_t cross_region_rank(size_t chunk) const { return m_cross_region_ranks[chunk]; }

    /// Whether this instance is the first of the targets, which alone reads from the origin in the chain strategy.
    bool is_first_target() const { return !m_targets.empty() && m_targets.front() == m_self; }
    /// Whether regions are ignored, because set_region_instances() has set none.
    bool ignores_regions() const { return m_region_instances.empty(); }
    bool is_in_region(std::string const& instance) const { return m_region_instances.contains(instance); }
    bool is_cache(std::string const& instance) const;
    std::vector<std::string> const& caches() const { return m_caches; }

private:
    void rank_origin_reads();
    /// Returns the position in `m_readers` of the first member of the group that contains `position`; 0 for the seeders.
    size_t group_begin(size_t position) const;
    size_t position_of(std::string const& reader) const;
    size_t rank_at(size_t position, size_t chunk) const;
    void rank_cross_region_reads();
    size_t rank_among(std::vector<std::string> const&, std::string const& digest) const;

    std::string m_self;
    size_t m_seeders;
    std::string m_version_digest;
    std::vector<std::string> m_digests;
    std::vector<std::string> m_targets;
    std::set<std::string> m_region_instances;
    std::vector<std::string> m_caches;
    // All instances that may read from the origin, the seeders first.
    std::vector<std::string> m_readers;
    size_t m_seeder_count { 1 };
    size_t m_best_origin_rank { 0 };
    std::vector<size_t> m_origin_ranks;
    std::vector<size_t> m_cross_region_ranks;
};

}
