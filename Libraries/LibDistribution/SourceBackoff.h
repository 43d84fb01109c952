// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibDistribution/Source.h>
#include <cstdint>
#include <map>
#include <string>

namespace Distribution {

/// Tracks failures of the sources of chunks, and how long to back off from each source after a failure.
class SourceBackoff {
public:
    /// The backoff of a peer doubles with each failure in a row, up to `max_backoff`. The origin's backoff does not grow.
    explicit SourceBackoff(Core::Duration max_backoff)
        : m_max_backoff(max_backoff)
    {
    }

    /// Starts the backoff for a source. Up to two chunks with a wrong digest are tolerated per source without any backoff.
    void on_failed(Source const&, FetchFailure, Core::Time now);
    /// Resets the growth of a source's backoff after a successful read.
    void on_fetched(Source const& source) { m_states[source].failures = 0; }
    /// Discards the backoff of a peer that was lost, so that it starts without one if it returns. Its count of corrupt chunks is kept.
    void forget(std::string const& peer) { m_states.erase(Source { peer }); }

    /// Whether the source is to be left out because its backoff has not ended.
    bool is_backed_off(Source const&, Core::Time now) const;

private:
    struct SourceState {
        // Failures since the last successful read, as far as they make the backoff longer.
        size_t failures { 0 };
        Core::Time backed_off_until { 0 };
    };

    Core::Duration backoff_after(Source const&, FetchFailure);

    Core::Duration m_max_backoff;
    std::map<Source, SourceState> m_states;
    // Number of chunks received with a wrong digest.
    std::map<Source, uint64_t> m_corrupt_chunks;
};

}
