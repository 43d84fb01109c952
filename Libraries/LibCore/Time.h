// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>
#include <cstdint>

namespace Core {

/// Milliseconds. Decisions take the time as an argument and never read a clock.
using Duration = std::chrono::milliseconds;

/// Milliseconds on a process's monotonic clock, or virtual time in tests.
using Time = std::chrono::milliseconds;

/// Milliseconds since the Unix epoch, as a UUIDv7 carries them.
using WallTime = std::chrono::milliseconds;

inline Time monotonic_now()
{
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

inline WallTime wall_now()
{
    return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
}

}
