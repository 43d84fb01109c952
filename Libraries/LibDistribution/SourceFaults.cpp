// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/SourceFaults.h>

#include <algorithm>

namespace Distribution {

// The backoff from a busy source is short and constant; the backoff from a peer that fails doubles with each failure.
static constexpr Core::Duration busy_wait { 50 };
static constexpr Core::Duration fault_wait { 500 };
// Chunks that only the origin holds have no other source, and few instances read from the origin. These retry often, so that no version
// misses its deadline because of a backoff that continues after the origin is reachable again.
static constexpr Core::Duration origin_fault_wait { 250 };
static constexpr Core::Duration corrupt_wait { 10000 };
static constexpr size_t most_fault_doublings = 5;
static constexpr size_t corrupt_chunks_tolerated = 2;

void SourceFaults::on_failed(Source const& source, FetchFailure failure, Core::Time now)
{
    if (failure == FetchFailure::Corrupt && ++m_corrupt[source] <= corrupt_chunks_tolerated)
        return;
    m_standings[source].avoid_until = now + wait_after(source, failure);
}

Core::Duration SourceFaults::wait_after(Source const& source, FetchFailure failure)
{
    if (failure == FetchFailure::Busy)
        return busy_wait;
    if (source.is_origin())
        return origin_fault_wait;
    if (failure == FetchFailure::Corrupt)
        return corrupt_wait;
    auto const doublings = std::min(m_standings[source].faults++, most_fault_doublings);
    return std::min(m_longest_wait, fault_wait * (1 << doublings));
}

bool SourceFaults::is_avoided(Source const& source, Core::Time now) const
{
    auto const found = m_standings.find(source);
    return found != m_standings.end() && now < found->second.avoid_until;
}

}
