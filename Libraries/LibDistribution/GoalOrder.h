// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>

namespace Distribution {

/// How far the transfer of a version is when a newer one is named.
struct TransferStand {
    /// The version's manifest is known here or at an instance that it can be had from.
    bool has_begun { false };
    bool is_complete { false };
    Core::Duration since_named { 0 };
    /// Time from the naming within which the version must be served.
    Core::Duration bound { 0 };
};

/// Whether a version's transfer goes on to its end before that of a newer version begins.
///
/// The older version's bound comes first, and its chunks may be all that can be had: the origin may be gone by the time
/// that it is asked for the newer ones. Past half of its bound an older version would only hold the newer one up.
inline bool is_worth_finishing(TransferStand const& stand)
{
    return stand.has_begun && !stand.is_complete && stand.since_named < stand.bound / 2;
}

}
