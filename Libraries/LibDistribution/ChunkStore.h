// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Hash.h>
#include <LibSchema/Generated.h>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Distribution {

/// A chunk that is being received. Each slice is hashed as it arrives, so that no single iteration of the event loop has to hash
/// the whole chunk.
class IncomingChunk {
public:
    void append(std::string_view slice);
    /// Bytes received so far.
    size_t size() const { return m_bytes.size(); }

private:
    friend class ChunkStore;
    Core::Sha256 m_hash;
    std::string m_bytes;
};

/// The chunks that an instance holds in memory, keyed by their SHA-256 digest. Only chunks whose bytes match their digest are added.
class ChunkStore {
public:
    enum class AddResult {
        Added,
        AlreadyHeld,
        /// The digest of the bytes differs from the expected one. Nothing was added.
        Corrupt,
    };

    /// Verifies the received bytes against `digest` and moves them into the store.
    AddResult add(std::string const& digest, IncomingChunk&);

    /// Returns the chunk's bytes, or nullptr if the store does not hold the chunk.
    /// The bytes stay valid as long as the pointer is kept, also after keep_only() has removed the chunk.
    std::shared_ptr<std::string const> find(std::string const& digest) const;
    bool holds(std::string const& digest) const { return m_chunks.contains(digest); }

    /// Returns the indices into the version's list of chunks of those that the store holds, ascending.
    std::vector<int64_t> held_chunk_indices(Schema::VersionSpec const&) const;

    /// Removes every chunk that belongs to none of the versions.
    void keep_only(std::vector<Schema::VersionSpec const*> const&);

    /// Total size of the held chunks in bytes.
    size_t bytes() const { return m_bytes; }
    size_t count() const { return m_chunks.size(); }

private:
    std::map<std::string, std::shared_ptr<std::string const>> m_chunks;
    size_t m_bytes { 0 };
};

}
