// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/Time.h>
#include <LibRouting/EngineOwners.h>
#include <LibRouting/FollowedEngines.h>
#include <LibRouting/RouteTable.h>
#include <LibRouting/ServerTable.h>
#include <LibSchema/Generated.h>
#include <map>
#include <string>
#include <vector>

namespace DirectEntry {

/// What this entry and the others are asked for, and which engines each of them therefore fills.
class EngineSharing {
public:
    /// Interval at which entries tell each other what they are asked for.
    static constexpr Core::Duration interval { 1000 };

    EngineSharing(std::string identity, std::string failure_domain);

    /// A caller asked for something of the service.
    void on_asked(std::string const& service) { m_asked[service] += 1; }

    /// @return true if nothing was known of that entry before.
    bool on_peer_load(std::string const& entry, Schema::EntryLoad const&);
    void on_peer_down(std::string const& entry) { m_loads.erase(entry); }

    /// Takes what was asked since the last call into the smoothed rates. To be called once an interval.
    void end_interval();
    /// What this entry is asked for, to be told to the other entries.
    Schema::EntryLoad load() const;

    /// What this entry is to each engine that serves a whole version; one that is not followed is taken to serve one.
    std::map<std::string, Routing::EngineRole> roles(Routing::RouteTable const&, Configuration::FactReplica const&, Routing::ServerTable const&, Routing::FollowedEngines const&, Core::Time now) const;

    /// This entry and the others that are linked, without what they are asked for.
    std::vector<Routing::SharingEntry> entries() const;

    /// The last word of each other entry that is linked.
    std::map<std::string, Schema::EntryLoad> const& peer_loads() const { return m_loads; }

private:
    std::vector<Routing::SharingEntry> entries_asked_for(std::string const& service) const;

    std::string m_identity;
    std::string m_failure_domain;
    std::map<std::string, Schema::EntryLoad> m_loads;
    // Requests since the last interval, and the smoothed rates, a second.
    std::map<std::string, uint64_t> m_asked;
    std::map<std::string, double> m_demand;
};

}
