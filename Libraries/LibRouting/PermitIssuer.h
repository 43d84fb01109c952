// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Routing {

/// Permits per second that are issued at least, whatever the limit of the server: only an answer of the server shows that its limit has
/// changed.
inline constexpr double min_permits_per_second = 0.2;

/// Issues the permits to send requests to one limited backend server to all entries: a token bucket, whose tokens go in turn to the entries
/// that request permits.
class PermitIssuer {
public:
    /// @param per_second the server's limit, requests per second.
    PermitIssuer(double per_second, Core::Time now);

    void set_limit(double per_second, Core::Time now);

    /// An entry requests permits. This replaces its previous request, and is kept for half a second.
    void request(std::string const& entry, int64_t count, Core::Time now);

    /// Drops the entry's request: a permit for an entry that can't be reached is used by none.
    void remove(std::string const& entry);

    /// Returns the number of permits that each entry gets now.
    std::map<std::string, int64_t> issue(Core::Time now);

    /// Number of entries whose requests are not met yet.
    size_t waiting_entries() const { return m_requests.size(); }

private:
    struct Request {
        std::string entry;
        int64_t count { 0 };
        Core::Time requested_at { 0 };
    };

    void refill(Core::Time now);

    double m_per_second;
    double m_tokens { 0 };
    Core::Time m_refilled_at;
    // The entry whose turn is next is first.
    std::deque<Request> m_requests;
};

}
