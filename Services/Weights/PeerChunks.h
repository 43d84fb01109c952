// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Weights {

/// The chunks that peers have announced, by model and version.
///
/// A peer that fetches a newer version still holds the previous one, so an announcement of one version does not change what is known of
/// another. Only the newest four versions of a model are kept for each peer.
class PeerChunks {
public:
    using Chunks = std::set<int64_t>;

    /// Adds the chunks of an announcement to those that the peer announced before.
    void add(std::string const& peer, Schema::PieceMap const&);
    void forget(std::string const& peer) { m_peers.erase(peer); }

    /// Returns the chunks that each peer has announced of a version. The set is empty for a peer that has announced the version without a
    /// chunk.
    std::map<std::string, Chunks> holders_of(std::string const& model, int64_t version) const;

    /// Returns how many different chunks of a version are held by at least one peer.
    size_t distinct_chunks(std::string const& model, int64_t version) const;

private:
    using Versions = std::map<int64_t, Chunks>;

    // By peer and model.
    std::map<std::string, std::map<std::string, Versions>> m_peers;
};

}
