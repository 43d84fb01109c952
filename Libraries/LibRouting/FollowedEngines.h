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

/// Set of the engines that this entry follows, which means that it keeps a link to their agents. An engine is identified by the IP
/// address that it shares with its agent. The set holds the engines that follows_engine() selects, and those that this entry uses as
/// owner or helper (see EngineRole), at any distance.
///
/// Of an engine that it doesn't follow, an entry only knows that the list of backend servers names it, and sends no requests to it.
class FollowedEngines {
public:
    FollowedEngines(SharingEntry self, RegionByDomain);

    /// Determines the set anew.
    /// @param engines the engines in the list of backend servers, with the IP address as id.
    /// @param entries the entries that are up, with or without this one.
    /// @param used IP addresses of the engines that this entry is owner or helper of.
    /// @return Whether the set has changed.
    bool update(std::vector<SharedEngine> engines, std::vector<SharingEntry> const& entries, std::set<std::string> const& used, Core::Time now);

    bool contains(std::string const& ip) const { return m_followed.contains(ip); }
    std::set<std::string> const& ips() const { return m_followed; }

private:
    SharingEntry m_self;
    RegionByDomain m_regions;
    // When update() first received any engines.
    std::optional<Core::Time> m_listed_since;
    // Engines that this entry is or recently was owner or helper of, and until when it follows them for that reason.
    std::map<std::string, Core::Time> m_followed_for_use_until;
    std::set<std::string> m_followed;
};

}
