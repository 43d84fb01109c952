// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibDistribution/Source.h>
#include <cstdint>
#include <map>
#include <string>

namespace Distribution {

/// Tracks failures of the sources of chunks, and how long to back off from each source after a failure.
class SourceFaults {
public:
    /// The backoff of a peer doubles with each failure in a row, up to `longest_wait`. The origin's backoff does not grow.
    explicit SourceFaults(Core::Duration longest_wait)
        : m_longest_wait(longest_wait)
    {
    }

    /// Starts the backoff for a source. Up to two chunks with a wrong digest are tolerated per source without any backoff.
    void on_failed(Source const&, FetchFailure, Core::Time now);
    /// Resets the growth of a source's backoff after a successful read.
    void on_fetched(Source const& source) { m_standings[source].faults = 0; }
    /// Discards the backoff of a peer that was lost, so that it starts without one if it returns. Its count of corrupt chunks is kept.
    void forget(std::string const& peer) { m_standings.erase(Source { peer }); }

    /// Whether the source is to be left out because its backoff has not ended.
    bool is_avoided(Source const&, Core::Time now) const;

private:
    struct Standing {
        // Failures since the last successful read, as far as they make the backoff longer.
        size_t faults { 0 };
        Core::Time avoid_until { 0 };
    };

    Core::Duration wait_after(Source const&, FetchFailure);

    Core::Duration m_longest_wait;
    std::map<Source, Standing> m_standings;
    // Number of chunks received with a wrong digest.
    std::map<Source, uint64_t> m_corrupt;
};

}
