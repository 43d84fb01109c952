// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Distribution {

/// How far the transfer of a version is when a newer one is named.
struct TransferStand {
    /// The version's manifest is known here or at an instance that it can be had from.
    bool has_begun { false };
    bool is_complete { false };
    /// Chunks of the version, and those of them that are here.
    size_t chunks { 0 };
    size_t held { 0 };
    /// The other instances hold all of the newer version between them, so that it can be had without the origin.
    bool is_newer_at_peers { false };
    Core::Duration since_named { 0 };
    /// Time from the naming within which the version must be served.
    Core::Duration bound { 0 };
};

/// Whether a version's transfer goes on to its end before that of a newer version begins.
///
/// The older version's bound comes first, and its chunks may be all that can be had: the origin may be gone by the time
/// that it is asked for the newer ones. Past half of its bound an older version would only hold the newer one up, unless
/// nearly all of it is here and the newer one may not be had at all: then it has another quarter.
inline bool is_worth_finishing(TransferStand const& stand)
{
    if (!stand.has_begun || stand.is_complete)
        return false;
    if (stand.since_named < stand.bound / 2)
        return true;
    // What is left then takes a small part of the time that the rest took.
    bool const is_nearly_whole = stand.chunks > 0 && stand.held * 4 >= stand.chunks * 3;
    return is_nearly_whole && !stand.is_newer_at_peers && stand.since_named < stand.bound * 3 / 4;
}

}
