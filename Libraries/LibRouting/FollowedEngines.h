// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/EngineFollowers.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// The engines whose agents this entry keeps a link to, by the IP number that agent and engine share: those that it is a
/// follower of, and those that it fills or helps to fill wherever they are.
///
/// Of an engine that is not followed an entry knows only that it is listed, and sends nothing there.
class FollowedEngines {
public:
    FollowedEngines(SharingEntry self, Regions);

    /// @param engines those that are listed, with the IP number as id.
    /// @param entries those that are up, this one among them or not.
    /// @param used IP numbers of the engines that this entry fills or helps to fill.
    /// @return Whether any engine is followed from now on that was not, or the other way round.
    bool update(std::vector<SharedEngine> engines, std::vector<SharingEntry> const& entries, std::set<std::string> const& used, Core::Time now);

    bool contains(std::string const& ip) const { return m_followed.contains(ip); }
    std::set<std::string> const& ips() const { return m_followed; }

private:
    SharingEntry m_self;
    Regions m_regions;
    // When engines were first listed here.
    std::optional<Core::Time> m_listed_since;
    // Engines that this entry fills or helps to fill, and until when they are followed for that.
    std::map<std::string, Core::Time> m_used_until;
    std::set<std::string> m_followed;
};

}
