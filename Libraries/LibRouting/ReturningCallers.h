// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibRouting/FirstRequestEstimator.h>
#include <LibRouting/RefusedRequests.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Routing {

/// Determines when a caller made its first request, so that a caller that retries is not mistaken for a new one, whose answer can still
/// begin within the objective.
///
/// Entries announce to each other the requests that they refuse, so every entry recognises a retry, whichever entry refused the
/// first request. During an outage no entry is there to refuse requests; for ten seconds after one, the first request's time is
/// estimated from the time that the caller still waits (FirstRequestEstimator). Otherwise a request counts as the caller's first.
class ReturningCallers {
public:
    struct Callbacks {
        /// The names of the other entries to which a link is up.
        std::function<std::vector<std::string>()> entries;
        /// Sends a message to another entry.
        std::function<void(std::string const& entry, Schema::Message const&)> send;
    };

    explicit ReturningCallers(Callbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {
    }

    /// This entry refused a request: its retry will be recognised here and, after the next tell(), by the other entries.
    void on_refused(RefusedRequest, Core::Time now);
    /// This entry has started, or another one has become unreachable: callers' requests may have reached no entry.
    void on_outage(Core::Time now) { m_outage_at = now; }

    /// Determines when the caller of a request that arrived at `now` sent its first request.
    /// @param remaining_wait how long the caller still waits.
    /// @param digest computes the request's digest; called only if any refusal is known.
    Core::Time first_request_time(std::string const& route, Core::Duration remaining_wait, std::function<std::string()> const& digest, Core::Time now);

    /// Adds the refusals that another entry announced. A message with invalid values is dropped as a whole and logged as
    /// refusals_dropped.
    void on_announcement(std::string const& entry, Schema::RefusalNews const&, Core::Time now);
    /// Announces the requests refused since the last call to the other entries. Sends at most 8 kB a second on average, to all entries
    /// together; refusals beyond that are not announced.
    void tell(Core::Time now);

private:
    size_t reserve_allowance(size_t refusals, size_t entries, Core::Time now);

    Callbacks m_callbacks;
    RefusedRequests m_refused;
    FirstRequestEstimator m_estimator;
    std::optional<Core::Time> m_outage_at;
    std::vector<RefusedRequest> m_unannounced;
    // Bytes that may be sent now, as of m_allowance_at.
    double m_allowance { 0 };
    Core::Time m_allowance_at { 0 };
};

}
