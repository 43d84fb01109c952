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

/// A chunk on its way in. It is hashed slice by slice as it arrives, so that the loop keeps turning.
class IncomingChunk {
public:
    void append(std::string_view slice);
    size_t size() const { return m_bytes.size(); }

private:
    friend class ChunkStore;
    Core::Sha256 m_hash;
    std::string m_bytes;
};

/// The verified chunks that an instance holds in memory, by digest. Nothing unverified ever gets in.
class ChunkStore {
public:
    enum class AddResult {
        Added,
        AlreadyHeld,
        /// The bytes do not have the digest; they were dropped.
        Corrupt,
    };

    AddResult add(std::string const& digest, IncomingChunk&);

    /// The bytes, or nothing. They stay valid for as long as the pointer is kept.
    std::shared_ptr<std::string const> find(std::string const& digest) const;
    bool holds(std::string const& digest) const { return m_chunks.contains(digest); }

    /// Numbers of the chunks of a version that are held.
    std::vector<int64_t> held_of(Schema::VersionSpec const&) const;

    /// Drops every chunk that none of the versions has.
    void keep_only(std::vector<Schema::VersionSpec const*> const&);

    size_t bytes() const { return m_bytes; }
    size_t count() const { return m_chunks.size(); }

private:
    std::map<std::string, std::shared_ptr<std::string const>> m_chunks;
    size_t m_bytes { 0 };
};

}
