// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>

namespace Distribution {

/// Where a chunk is read from: the instance with the id `peer`, or the origin if `peer` is empty.
struct Source {
    std::string peer;

    bool is_origin() const { return peer.empty(); }
    bool operator<(Source const& other) const { return peer < other.peer; }
};

/// Why reading a chunk from a source failed.
enum class FetchFailure {
    /// The source refused the read because it already serves as many reads as it may.
    Busy,
    /// The received bytes did not match the chunk's digest.
    Corrupt,
    /// The source does not hold the chunk.
    Missing,
    /// The source did not answer, or the connection ended before the last byte.
    Unreachable,
};

}
