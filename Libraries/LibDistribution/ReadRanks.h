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
/// that want the version.
class ReadRanks {
public:
    ReadRanks(Schema::VersionSpec const&, std::string self, std::vector<std::string> targets, size_t seeders);

    void set_targets(std::vector<std::string> targets);
    void set_near(std::vector<std::string> const& near);
    void set_caches(std::vector<std::string> caches);

    /// This instance's rank for reading a chunk from the origin; 0 reads it at once.
    size_t origin_rank(size_t chunk) const { return m_origin_ranks[chunk]; }
    /// This instance's rank among those near by for reading a chunk from far away.
    size_t far_rank(size_t chunk) const { return m_far_ranks[chunk]; }

    bool is_first_target() const { return !m_targets.empty() && m_targets.front() == m_self; }
    bool are_all_near() const { return m_near.empty(); }
    bool is_near(std::string const& instance) const { return m_near.contains(instance); }
    bool is_cache(std::string const& instance) const;
    std::vector<std::string> const& caches() const { return m_caches; }

private:
    void rank_origin_reads();
    void rank_far_reads();
    size_t rank_among(std::vector<std::string> const&, std::string const& digest) const;

    std::string m_self;
    size_t m_seeders;
    std::string m_version_digest;
    std::vector<std::string> m_digests;
    std::vector<std::string> m_targets;
    std::set<std::string> m_near;
    std::vector<std::string> m_caches;
    std::vector<size_t> m_origin_ranks;
    std::vector<size_t> m_far_ranks;
};

}
