// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// Estimates how long ago a caller made its first request, from the time that it still waits, on routes whose callers use the same
/// timeout.
///
/// Each retry of a caller arrives as a separate request, which states only how long the caller still waits. Where most callers of a
/// route start with the same timeout, a caller that states less has spent the difference on earlier requests. The usual
/// timeout is learned per route from recent requests: it is the longest value that is clearly more frequent than slightly shorter ones.
/// Where timeouts vary from caller to caller there is no such value, and every request counts as the caller's first.
class FirstRequestEstimator {
public:
    /// Records the time that the caller of a request still waits.
    /// @return how long before this request the caller made its first one; 0 if there is no sign of an earlier request.
    Core::Duration time_since_first_request(std::string const& route, Core::Duration wait_time);

private:
    /// The longest wait time that stands_out() among the recent ones; 0 if none does.
    static Core::Duration usual_timeout(std::deque<Core::Duration> const& recent);
    /// Whether clearly more wait times are about as long as the one at index `first` than are slightly shorter.
    static bool stands_out(std::vector<Core::Duration> const& longest_first, size_t first);

    // The latest 128 wait times, by route.
    std::map<std::string, std::deque<Core::Duration>> m_recent;
};

}
