// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace Routing {

/// Tells how long ago a caller first asked, by how much of its patience is left.
///
/// Every try of a caller is a request of its own, and says only how long the caller still waits. Most callers of a
/// route start with the same patience, so one that names less has spent the difference on earlier tries. What most
/// start with is learned from what is seen: the longest deadline that is common.
class CallerDeadlines {
public:
    /// Notes the deadline that came with a request of a route.
    /// @return how long before it the caller first asked; 0 where nothing speaks for an earlier try.
    Core::Duration on_request(std::string const& route, Core::Duration deadline);

private:
    /// The longest deadline that is common among the recent ones; 0 while none is.
    static Core::Duration usual(std::deque<Core::Duration> const& recent);

    std::map<std::string, std::deque<Core::Duration>> m_recent;
};

}
