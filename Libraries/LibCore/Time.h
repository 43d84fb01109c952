// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace Core {

/// A length of time in milliseconds. Code that decides something takes the current time as an argument instead of reading a clock, so that
/// tests can run it in virtual time.
using Duration = std::chrono::milliseconds;

/// A point in time: milliseconds on the monotonic clock of this process, or virtual time in tests.
using Time = std::chrono::milliseconds;

/// Milliseconds since the Unix epoch, the unit of the timestamp in a UUIDv7.
using WallTime = std::chrono::milliseconds;

/// Reads the clock that all decisions use (CLOCK_BOOTTIME). It keeps counting while the instance is suspended, so the age of an earlier
/// timestamp is still right after the instance resumes. The steady clock of the C++ library and the timers of the event loop stop
/// meanwhile.
inline Time monotonic_now()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<Time>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/// Reads the system clock. It can jump when the system's time is set.
inline WallTime wall_now()
{
    return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
}

}
