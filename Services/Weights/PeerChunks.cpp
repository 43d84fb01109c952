// SPDX-License-Identifier: BSD-2-Clause
#include "PeerChunks.h"

namespace Weights {

// A peer holds chunks of the version that it fetches and of one older version. The other two leave space for versions that follow.
static constexpr size_t versions_remembered = 4;

void PeerChunks::add(std::string const& peer, Schema::PieceMap const& map)
{
    auto& versions = m_peers[peer][map.model];
    versions[map.version].insert(map.chunks.begin(), map.chunks.end());
    while (versions.size() > versions_remembered)
        versions.erase(versions.begin());
}

std::map<std::string, PeerChunks::Chunks> PeerChunks::holders_of(std::string const& model, int64_t version) const
{
    std::map<std::string, Chunks> holders;
    for (auto const& [peer, models] : m_peers) {
        auto const versions = models.find(model);
        if (versions == models.end())
            continue;
        auto const chunks = versions->second.find(version);
        if (chunks != versions->second.end())
            holders[peer] = chunks->second;
    }
    return holders;
}

size_t PeerChunks::distinct_chunks(std::string const& model, int64_t version) const
{
    Chunks all;
    for (auto const& [peer, chunks] : holders_of(model, version))
        all.insert(chunks.begin(), chunks.end());
    return all.size();
}

}
