// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// Tells how long ago a caller first asked, by how much of its patience is left, where callers show one patience.
///
/// Every try of a caller is a request of its own, and says only how long the caller still waits. Where most callers of a
/// route start with the same patience, one that names less has spent the difference on earlier tries. What most start
/// with is learned from what is seen: the longest deadline that stands out among those near it. Where patience varies
/// from caller to caller none stands out, and nothing is concluded.
class CallerDeadlines {
public:
    /// Notes the deadline that came with a request of a route.
    /// @return how long before it the caller first asked; 0 where nothing speaks for an earlier try.
    Core::Duration on_request(std::string const& route, Core::Duration deadline);

private:
    /// The longest deadline that stands out among the recent ones; 0 while none does.
    static Core::Duration usual(std::deque<Core::Duration> const& recent);
    /// Whether many more are as long as the one at `first` than are a little shorter.
    static bool stands_out(std::vector<Core::Duration> const& longest_first, size_t first);

    std::map<std::string, std::deque<Core::Duration>> m_recent;
};

}
