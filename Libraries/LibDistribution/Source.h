// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>

namespace Distribution {

/// Where a chunk is read from: a peer, or the origin if `peer` is empty.
struct Source {
    std::string peer;

    bool is_origin() const { return peer.empty(); }
    bool operator<(Source const& other) const { return peer < other.peer; }
};

enum class FetchFailure {
    /// The source refused because it serves as many as it may.
    Busy,
    /// The bytes did not have the chunk's digest.
    Corrupt,
    /// The source does not hold the chunk.
    Missing,
    /// The source did not answer, or broke off.
    Unreachable,
};

}
