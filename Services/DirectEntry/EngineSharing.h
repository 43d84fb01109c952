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

/// Tracks the request rate of each service at this entry and at the others, and derives from these rates which engines each entry
/// fills.
///
/// Each engine has one owner among the entries, which keeps it full, and some helpers; see Routing::EngineRole. All entries
/// compute the same assignment from the same rates and engines.
class EngineSharing {
public:
    /// Interval at which entries send each other their request rates.
    static constexpr Core::Duration interval { 1000 };

    EngineSharing(std::string identity, std::string failure_domain);

    /// Counts one request of a caller for the service.
    void count_request(std::string const& service) { m_request_counts[service] += 1; }

    /// Stores the request rates that another entry sent.
    /// @return true if none were known of that entry before.
    bool on_peer_load(std::string const& entry, Schema::EntryLoad const&);
    void on_peer_down(std::string const& entry) { m_peer_loads.erase(entry); }

    /// Merges the requests counted since the last call into the smoothed rates. To be called once per `interval`.
    void end_interval();
    /// Returns this entry's failure domain and smoothed request rates, to be sent to the other entries.
    Schema::EntryLoad load() const;

    /// Returns this entry's role for each engine that serves a whole version, by backend server id.
    ///
    /// Engines that leave have no role. An engine that this entry does not follow, so that its version is unknown here, is assumed to
    /// serve one.
    std::map<std::string, Routing::EngineRole> roles(Routing::RouteTable const&, Configuration::FactReplica const&, Routing::ServerTable const&, Routing::FollowedEngines const&, Core::Time now) const;

    /// Returns this entry and those that have sent their rates over a link that is up, with a demand of 0.
    std::vector<Routing::SharingEntry> entries() const;

    /// The last rates that each other linked entry sent, by identity.
    std::map<std::string, Schema::EntryLoad> const& peer_loads() const { return m_peer_loads; }

private:
    /// This entry and the linked ones, each with its request rate for the service.
    std::vector<Routing::SharingEntry> entries_with_demand(std::string const& service) const;

    std::string m_identity;
    std::string m_failure_domain;
    std::map<std::string, Schema::EntryLoad> m_peer_loads;
    // Requests counted since the last interval, by service.
    std::map<std::string, uint64_t> m_request_counts;
    // Smoothed request rates, requests per second, by service.
    std::map<std::string, double> m_demand;
};

}
