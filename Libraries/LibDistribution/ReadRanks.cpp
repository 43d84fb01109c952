// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/ReadRanks.h>

#include <LibCore/Hash.h>
#include <algorithm>

namespace Distribution {

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
    , m_far_ranks(version.chunks.size())
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

void ReadRanks::set_near(std::vector<std::string> const& near)
{
    m_near = { near.begin(), near.end() };
    rank_far_reads();
}

void ReadRanks::set_caches(std::vector<std::string> caches)
{
    if (caches == m_caches)
        return;
    m_caches = std::move(caches);
    rank_origin_reads();
    rank_far_reads();
}

bool ReadRanks::is_cache(std::string const& instance) const
{
    return contains(m_caches, instance);
}

void ReadRanks::rank_origin_reads()
{
    auto seeders = Core::rendezvous_order(m_version_digest, m_caches.empty() ? m_targets : m_caches);
    auto const seeder_count = std::min(std::max<size_t>(1, m_seeders), seeders.size());
    std::vector<std::string> others(seeders.begin() + static_cast<ptrdiff_t>(seeder_count), seeders.end());
    if (!m_caches.empty())
        others.insert(others.end(), m_targets.begin(), m_targets.end());
    seeders.resize(seeder_count);
    bool const is_seeder = contains(seeders, m_self);
    for (size_t i = 0; i < m_digests.size(); ++i) {
        auto const rank = rank_among(is_seeder ? seeders : others, m_digests[i]);
        m_origin_ranks[i] = is_seeder ? rank : seeder_count + rank;
    }
}

void ReadRanks::rank_far_reads()
{
    std::vector<std::string> near_caches;
    std::vector<std::string> others;
    for (auto const& instance : m_near)
        (is_cache(instance) ? near_caches : others).push_back(instance);
    bool const is_near_cache = contains(near_caches, m_self);
    for (size_t i = 0; i < m_digests.size(); ++i)
        m_far_ranks[i] = is_near_cache ? rank_among(near_caches, m_digests[i]) : near_caches.size() + rank_among(others, m_digests[i]);
}

size_t ReadRanks::rank_among(std::vector<std::string> const& instances, std::string const& digest) const
{
    // The rank is the number of instances with a higher hash; no order needs to be built.
    auto const own = Core::stable_hash(digest, m_self);
    return static_cast<size_t>(std::count_if(instances.begin(), instances.end(), [&](auto const& instance) {
        return instance != m_self && Core::stable_hash(digest, instance) > own;
    }));
}

}
