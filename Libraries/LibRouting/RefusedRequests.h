// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Routing {

/// A request that some entry refused or failed, so that its caller may ask again.
struct RefusedRequest {
    /// Of its content; see request_digest().
    std::string digest;
    /// When its caller first asked.
    Core::Time first_asked { 0 };
    /// When its caller stops waiting.
    Core::Time deadline { 0 };
};

/// Recognises callers that come back after a refusal, whichever entry refused them.
///
/// Every try of a caller is a request of its own, with a new identifier. It is a later try of one that was refused if the
/// content is the same and the caller's patience ends at the same moment.
class RefusedRequests {
public:
    /// Notes a refusal by this entry or another. One whose caller has stopped waiting is ignored.
    void add(RefusedRequest, Core::Time now);

    /// When the caller of a request first asked, if it was refused before. A refusal answers for one later try.
    /// @param deadline when the caller of the present request stops waiting.
    std::optional<Core::Time> take(std::string const& digest, Core::Time deadline, Core::Time now);

    /// Forgets those whose callers have stopped waiting.
    void forget_ended(Core::Time now);

    size_t size() const { return m_refused.size(); }

private:
    std::multimap<std::string, RefusedRequest> m_refused;
};

}
