// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Weights {

/// The chunks that peers said they hold, by model and version.
///
/// A peer that has turned to a newer version still holds the one before, so its word on one version says nothing about
/// another.
class PeerChunks {
public:
    using Chunks = std::set<int64_t>;

    void add(std::string const& peer, Schema::PieceMap const&);
    void forget(std::string const& peer) { m_peers.erase(peer); }

    /// What each peer that told of a version holds of it: nothing, if it only seeks it.
    std::map<std::string, Chunks> holders_of(std::string const& model, int64_t version) const;

    /// Chunks of a version that some peer holds.
    size_t distinct_chunks(std::string const& model, int64_t version) const;

private:
    using Versions = std::map<int64_t, Chunks>;

    // By peer and model.
    std::map<std::string, std::map<std::string, Versions>> m_peers;
};

}
