// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibDistribution/Source.h>
#include <cstdint>
#include <map>
#include <string>

namespace Distribution {

/// How long each source is left alone after its failures.
class SourceFaults {
public:
    /// A peer that keeps failing is left alone for twice as long each time, up to `longest_wait`; the origin for the same short time.
    explicit SourceFaults(Core::Duration longest_wait)
        : m_longest_wait(longest_wait)
    {
    }

    void on_failed(Source const&, FetchFailure, Core::Time now);
    void on_fetched(Source const& source) { m_standings[source].faults = 0; }
    /// A peer is gone; it begins anew if it comes back.
    void forget(std::string const& peer) { m_standings.erase(Source { peer }); }

    bool is_avoided(Source const&, Core::Time now) const;

private:
    struct Standing {
        size_t faults { 0 };
        Core::Time avoid_until { 0 };
    };

    Core::Duration wait_after(Source const&, FetchFailure);

    Core::Duration m_longest_wait;
    std::map<Source, Standing> m_standings;
    // Chunks that came with a wrong digest.
    std::map<Source, uint64_t> m_corrupt;
};

}
