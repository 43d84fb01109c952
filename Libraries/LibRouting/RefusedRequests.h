// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Routing {

/// A request that an entry refused or failed, so that its caller may retry.
struct RefusedRequest {
    /// Digest of the request's content; see request_digest().
    std::string digest;
    /// When the caller sent its first request, of which this one may be a retry.
    Core::Time first_request_time { 0 };
    /// When the caller stops waiting.
    Core::Time deadline { 0 };
};

/// Recognises requests that are a caller's retry after a refusal, whichever entry refused it.
///
/// A retry arrives as a separate request with a new identifier. It counts as the retry of a refused request if the content is the
/// same and the caller stops waiting at the same moment, within 150 ms. At most 4096 refusals are kept; further ones are dropped.
class RefusedRequests {
public:
    /// Adds a refusal by this entry or another. It is ignored if its caller has already stopped waiting.
    void add(RefusedRequest, Core::Time now);

    /// Finds the refused request that the present one retries, and removes it: each refusal leads to one retry.
    /// @param deadline when the caller of the present request stops waiting.
    /// @return when the caller sent its first request, or std::nullopt if the present request is not known to be a retry.
    std::optional<Core::Time> take_first_request_time(std::string const& digest, Core::Time deadline, Core::Time now);

    /// Removes refusals whose callers have stopped waiting.
    void remove_expired(Core::Time now);

    size_t size() const { return m_refused.size(); }

private:
    std::multimap<std::string, RefusedRequest> m_refused;
};

}
