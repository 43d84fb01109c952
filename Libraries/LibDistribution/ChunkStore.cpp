// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/ChunkStore.h>

namespace Distribution {

void IncomingChunk::append(std::string_view slice)
{
    m_hash.update(slice);
    m_bytes += slice;
}

ChunkStore::AddResult ChunkStore::add(std::string const& digest, IncomingChunk& incoming)
{
    if (m_chunks.contains(digest))
        return AddResult::AlreadyHeld;
    if (incoming.m_hash.finish() != digest)
        return AddResult::Corrupt;
    // The string grew slice by slice, so its capacity may be up to twice its size.
    incoming.m_bytes.shrink_to_fit();
    m_bytes += incoming.m_bytes.size();
    m_chunks[digest] = std::make_shared<std::string const>(std::move(incoming.m_bytes));
    return AddResult::Added;
}

std::shared_ptr<std::string const> ChunkStore::find(std::string const& digest) const
{
    auto found = m_chunks.find(digest);
    return found == m_chunks.end() ? nullptr : found->second;
}

std::vector<int64_t> ChunkStore::held_chunk_indices(Schema::VersionSpec const& version) const
{
    std::vector<int64_t> held;
    for (size_t i = 0; i < version.chunks.size(); ++i) {
        if (holds(version.chunks[i].digest))
            held.push_back(static_cast<int64_t>(i));
    }
    return held;
}

void ChunkStore::keep_only(std::vector<Schema::VersionSpec const*> const& versions)
{
    std::set<std::string> wanted;
    for (auto const* version : versions) {
        for (auto const& chunk : version->chunks)
            wanted.insert(chunk.digest);
    }
    for (auto chunk = m_chunks.begin(); chunk != m_chunks.end();) {
        if (wanted.contains(chunk->first)) {
            ++chunk;
            continue;
        }
        m_bytes -= chunk->second->size();
        chunk = m_chunks.erase(chunk);
    }
}

}
