// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// Splits each customer's limits among the entries by the demand that each one sees, without a coordinator:
/// every entry tells the others, by way of a few agents, what its customers ask of it.
class DemandShares {
public:
    /// How often demand is measured anew.
    static constexpr Core::Duration interval { 1000 };

    /// A request was offered, whether or not it passes.
    void on_offered(std::string const& customer);

    /// Ends an interval of measurement.
    void end_interval();

    /// The customers with most demand here, bounded.
    std::vector<Schema::Demand> own() const;

    /// Another entry's word of its demand.
    void on_heard(std::string const& entry, std::vector<Schema::Demand> const&, Core::Time now);

    /// This entry's share (0 to 1) of a customer's limits. An entry that was not heard of late is left an even part.
    double share(std::string const& customer, size_t live_entries, Core::Time now) const;

private:
    struct Heard {
        Core::Time at { 0 };
        std::map<std::string, double> per_second;
    };

    std::map<std::string, double> m_offered;
    std::map<std::string, double> m_per_second;
    std::map<std::string, Heard> m_heard;
};

}
