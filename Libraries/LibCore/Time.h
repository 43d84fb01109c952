// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace Core {

/// Milliseconds. Decisions take the time as an argument and never read a clock.
using Duration = std::chrono::milliseconds;

/// Milliseconds on a process's monotonic clock, or virtual time in tests.
using Time = std::chrono::milliseconds;

/// Milliseconds since the Unix epoch, as a UUIDv7 carries them.
using WallTime = std::chrono::milliseconds;

/// The one clock of all decisions. It goes on while the instance is suspended, which the steady clock of the C++ library, and so the
/// timers of the event loop, do not: an age that was taken before is right after.
inline Time monotonic_now()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<Time>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

inline WallTime wall_now()
{
    return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
}

}
