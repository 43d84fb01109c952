// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibRouting/CallerDeadlines.h>
#include <LibRouting/RefusedRequests.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Routing {

/// Knows callers that come back, so that they are not taken for new ones that can still be in time.
///
/// Entries tell each other what they refuse, and so know a later try whichever entry refused the first. After an outage, which leaves
/// nobody to refuse, the deadline may tell it. Else a try counts as the first.
class ReturningCallers {
public:
    struct Callbacks {
        /// The other entries that are linked.
        std::function<std::vector<std::string>()> entries;
        std::function<void(std::string const& entry, Schema::Message const&)> send;
    };

    explicit ReturningCallers(Callbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {
    }

    void on_refused(RefusedRequest, Core::Time now);
    /// This entry has started, or another one is gone: callers may have met nobody.
    void on_outage(Core::Time now) { m_outage_at = now; }

    /// When the caller of a request that came just now first asked.
    /// @param patience how long the caller still waits.
    /// @param digest of the request; it is taken only where some refusal is known.
    Core::Time first_asked(std::string const& route, Core::Duration patience, std::function<std::string()> const& digest, Core::Time now);

    /// Another entry's word. What cannot be meant is dropped, with a line.
    void on_news(std::string const& entry, Schema::RefusalNews const&, Core::Time now);
    /// Tells the others what was refused since the last turn, as far as the links' share allows.
    void tell(Core::Time now);

private:
    size_t may_tell(size_t refusals, size_t entries, Core::Time now);

    Callbacks m_callbacks;
    RefusedRequests m_refused;
    CallerDeadlines m_deadlines;
    std::optional<Core::Time> m_outage_at;
    std::vector<RefusedRequest> m_untold;
    // Bytes that may be sent now.
    double m_allowance { 0 };
    Core::Time m_allowance_at { 0 };
};

}
