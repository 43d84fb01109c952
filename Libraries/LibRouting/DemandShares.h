// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// Splits each customer's limits among the entries in proportion to the demand (requests per second) that each entry sees, without a
/// coordinator: every entry announces its customers' demand to the other entries through a few agents.
class DemandShares {
public:
    /// Length of a measurement interval: how often end_interval() has to be called.
    static constexpr Core::Duration interval { 1000 };

    /// Counts a request that arrived at this entry, whether or not it is admitted.
    void on_request_offered(std::string const& customer);

    /// Ends a measurement interval: updates the smoothed demand of each customer.
    void end_interval();

    /// Demand at this entry, of the 16 customers with the highest demand, to announce to the other entries.
    std::vector<Schema::Demand> local_demand() const;

    /// Replaces what is known of another entry's demand by what that entry announced.
    void on_peer_demand(std::string const& entry, std::vector<Schema::Demand> const&, Core::Time now);

    /// This entry's share (0 to 1) of a customer's limits. For each of the `live_entries` from which nothing was received for 5 s,
    /// an equal part is set aside.
    double share(std::string const& customer, size_t live_entries, Core::Time now) const;

private:
    struct PeerDemand {
        Core::Time received_at { 0 };
        std::map<std::string, double> per_second;
    };

    std::map<std::string, double> m_requests;
    std::map<std::string, double> m_per_second;
    std::map<std::string, PeerDemand> m_peers;
};

}
