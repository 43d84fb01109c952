// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <optional>

namespace Routing {

/// Whether an incarnation of a backend server is known to have started before another one. Both starts are in milliseconds of the Unix
/// clock; false if either is unknown.
inline bool is_earlier_start(std::optional<int64_t> started_at_ms, std::optional<int64_t> other)
{
    return started_at_ms && other && *started_at_ms < *other;
}

}
