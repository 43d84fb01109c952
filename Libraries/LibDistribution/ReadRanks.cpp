// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/ReadRanks.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <bit>

namespace Distribution {

// An instance that is not a cache may have just started and know only a few of the caches that read from the origin. It never gets a
// lower rank than this, so that it waits long enough for the caches that it does not know.
static constexpr size_t min_rank_behind_caches = 16;

static bool contains(std::vector<std::string> const& instances, std::string const& instance)
{
    return std::find(instances.begin(), instances.end(), instance) != instances.end();
}

ReadRanks::ReadRanks(Schema::VersionSpec const& version, std::string self, std::vector<std::string> targets, size_t seeders)
    : m_self(std::move(self))
    , m_seeders(seeders)
    , m_version_digest(version.digest)
    , m_targets(std::move(targets))
    , m_origin_ranks(version.chunks.size())
    , m_cross_region_ranks(version.chunks.size())
{
    for (auto const& chunk : version.chunks)
        m_digests.push_back(chunk.digest);
    rank_origin_reads();
}

void ReadRanks::set_targets(std::vector<std::string> targets)
{
    m_targets = std::move(targets);
    rank_origin_reads();
}

void ReadRanks::set_region_instances(std::vector<std::string> const& region_instances)
{
    m_region_instances = { region_instances.begin(), region_instances.end() };
    rank_cross_region_reads();
}

void ReadRanks::set_caches(std::vector<std::string> caches)
{
    if (caches == m_caches)
        return;
    m_caches = std::move(caches);
    rank_origin_reads();
    rank_cross_region_reads();
}

bool ReadRanks::is_cache(std::string const& instance) const
{
    return contains(m_caches, instance);
}

void ReadRanks::rank_origin_reads()
{
    m_readers = Core::rendezvous_order(m_version_digest, m_caches.empty() ? m_targets : m_caches);
    m_seeder_count = std::max<size_t>(1, std::min(m_seeders, m_readers.size()));
    if (!m_caches.empty()) {
        auto const targets = Core::rendezvous_order(m_version_digest, m_targets);
        m_readers.insert(m_readers.end(), targets.begin(), targets.end());
    }
    auto const position = position_of(m_self);
    m_best_origin_rank = group_begin(position);
    for (size_t i = 0; i < m_digests.size(); ++i)
        m_origin_ranks[i] = rank_at(position, i);
}

size_t ReadRanks::position_of(std::string const& reader) const
{
    return static_cast<size_t>(std::find(m_readers.begin(), m_readers.end(), reader) - m_readers.begin());
}

size_t ReadRanks::group_begin(size_t position) const
{
    return position < m_seeder_count ? 0 : std::max(m_seeder_count, std::bit_floor(position));
}

size_t ReadRanks::rank_at(size_t position, size_t chunk) const
{
    if (position < m_seeder_count)
        return (position + m_seeder_count - chunk % m_seeder_count) % m_seeder_count;
    auto const begin = group_begin(position);
    auto const end = std::bit_floor(position) * 2;
    auto const size = std::min(end, std::max(m_readers.size(), position + 1)) - begin;
    bool const is_assigned = chunk % size == position - begin;
    auto const rank = is_assigned ? begin : end;
    bool const has_caches_before = !m_caches.empty() && !is_cache(m_self);
    return has_caches_before ? std::max(rank, min_rank_behind_caches) : rank;
}

bool ReadRanks::is_in_same_backup_group(std::string const& peer) const
{
    // Caches receive announcements directly from every reader of the origin. Other instances also receive announcements from peers that got
    // the chunk from another peer.
    bool const are_both_caches = is_cache(peer) && is_cache(m_self);
    return m_best_origin_rank > 0 && are_both_caches && group_begin(position_of(peer)) == m_best_origin_rank;
}

void ReadRanks::rank_cross_region_reads()
{
    std::vector<std::string> region_caches;
    std::vector<std::string> others;
    for (auto const& instance : m_region_instances)
        (is_cache(instance) ? region_caches : others).push_back(instance);
    bool const is_region_cache = contains(region_caches, m_self);
    for (size_t i = 0; i < m_digests.size(); ++i)
        m_cross_region_ranks[i] = is_region_cache ? rank_among(region_caches, m_digests[i]) : region_caches.size() + rank_among(others, m_digests[i]);
}

size_t ReadRanks::rank_among(std::vector<std::string> const& instances, std::string const& digest) const
{
    // The rank is the number of instances with a higher hash, so no sorting is needed.
    auto const own = Core::stable_hash(digest, m_self);
    return static_cast<size_t>(std::count_if(instances.begin(), instances.end(), [&](auto const& instance) {
        return instance != m_self && Core::stable_hash(digest, instance) > own;
    }));
}

}
