// SPDX-License-Identifier: BSD-2-Clause
// Linked into programs that the soak runs, in the place of the C library's: their time of day steps and drifts, and their steady clock
// leaves out the time for which they were suspended. The clock that counts such time is the machine's. The file that SOAK_CLOCK
// names holds the disturbance; the soak changes it as it runs.

#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

constexpr int64_t nanoseconds_per_second = 1'000'000'000;
constexpr int64_t nanoseconds_per_microsecond = 1000;

/// As the soak writes it. Without a file it is all zeros.
struct Disturbance {
    /// Nanoseconds to add to the time of day.
    int64_t offset { 0 };
    /// Nanoseconds to add per second since `drifts_since`.
    int64_t drift { 0 };
    /// Real time in nanoseconds since the Unix epoch.
    int64_t drifts_since { 0 };
    /// Nanoseconds that the steady clock does not count.
    int64_t suspended { 0 };
};

Disturbance read_disturbance()
{
    Disturbance disturbance;
    char const* const path = std::getenv("SOAK_CLOCK");
    int const file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return disturbance;
    if (read(file, &disturbance, sizeof(disturbance)) != sizeof(disturbance))
        disturbance = {};
    close(file);
    return disturbance;
}

bool is_time_of_day(clockid_t clock)
{
    return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
}

bool is_steady(clockid_t clock)
{
    return clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW || clock == CLOCK_MONOTONIC_COARSE;
}

int64_t disturbed(clockid_t clock, int64_t real)
{
    auto const disturbance = read_disturbance();
    if (is_steady(clock))
        return real - disturbance.suspended;
    int64_t const drifted = (real - disturbance.drifts_since) / nanoseconds_per_second * disturbance.drift;
    return real + disturbance.offset + drifted;
}

}

extern "C" int clock_gettime(clockid_t clock, timespec* result) noexcept
{
    auto const code = static_cast<int>(syscall(SYS_clock_gettime, clock, result));
    if (code != 0 || !(is_time_of_day(clock) || is_steady(clock)))
        return code;
    auto const now = disturbed(clock, result->tv_sec * nanoseconds_per_second + result->tv_nsec);
    *result = { now / nanoseconds_per_second, now % nanoseconds_per_second };
    return code;
}

extern "C" int gettimeofday(timeval* result, void* /*zone*/) noexcept
{
    timespec now {};
    auto const code = clock_gettime(CLOCK_REALTIME, &now);
    *result = { now.tv_sec, now.tv_nsec / nanoseconds_per_microsecond };
    return code;
}

extern "C" time_t time(time_t* result) noexcept
{
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    if (result)
        *result = now.tv_sec;
    return now.tv_sec;
}
