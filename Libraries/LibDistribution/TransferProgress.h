// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Distribution {

/// The state of a version's transfer at the time when the operator names a newer version in the log records.
struct TransferProgress {
    /// This instance, or one that it can read chunks from, knows the version's manifest.
    bool has_begun { false };
    bool is_complete { false };
    /// Number of the version's chunks, and of those that this instance holds.
    size_t chunk_count { 0 };
    size_t held_count { 0 };
    /// Every chunk of the newer version is held by some other instance, so that the newer version can be fetched without the origin.
    bool is_newer_held_by_peers { false };
    /// Time since the version was named.
    Core::Duration time_since_named { 0 };
    /// Time within which the version must be served after it was named.
    Core::Duration version_time_limit { 0 };
};

/// Returns whether a version's transfer should be completed before the transfer of a newer version begins.
///
/// The older version's deadline is the earlier one, and its chunks may be the only ones available: the origin may be unreachable by the
/// time the newer ones are requested from it. Once half of the time to its deadline has passed, the older version would only delay the
/// newer one. It gets another quarter of that time if at least three quarters of its chunks are held and the newer version may be
/// unavailable.
inline bool should_finish_first(TransferProgress const& progress)
{
    if (!progress.has_begun || progress.is_complete)
        return false;
    if (progress.time_since_named < progress.version_time_limit / 2)
        return true;
    // The missing quarter takes a small part of the time that the held chunks took.
    bool const is_nearly_complete = progress.chunk_count > 0 && progress.held_count * 4 >= progress.chunk_count * 3;
    return is_nearly_complete && !progress.is_newer_held_by_peers && progress.time_since_named < progress.version_time_limit * 3 / 4;
}

}
