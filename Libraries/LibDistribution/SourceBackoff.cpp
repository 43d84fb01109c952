// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/SourceBackoff.h>

#include <algorithm>

namespace Distribution {

// The backoff from a busy source is short and constant; the backoff from a peer that fails doubles with each failure.
static constexpr Core::Duration busy_backoff { 50 };
static constexpr Core::Duration first_peer_backoff { 500 };
// Chunks that only the origin holds have no other source, and few instances read from the origin. These retry often, so that no version
// misses its deadline because of a backoff that continues after the origin is reachable again.
static constexpr Core::Duration origin_backoff { 250 };
static constexpr Core::Duration corrupt_backoff { 10000 };
static constexpr size_t max_backoff_doublings = 5;
static constexpr size_t tolerated_corrupt_chunks = 2;

void SourceBackoff::on_failed(Source const& source, FetchFailure failure, Core::Time now)
{
    if (failure == FetchFailure::Corrupt && ++m_corrupt_chunks[source] <= tolerated_corrupt_chunks)
        return;
    m_states[source].backed_off_until = now + backoff_after(source, failure);
}

Core::Duration SourceBackoff::backoff_after(Source const& source, FetchFailure failure)
{
    if (failure == FetchFailure::Busy)
        return busy_backoff;
    if (source.is_origin())
        return origin_backoff;
    if (failure == FetchFailure::Corrupt)
        return corrupt_backoff;
    auto const doublings = std::min(m_states[source].failures++, max_backoff_doublings);
    return std::min(m_max_backoff, first_peer_backoff * (1 << doublings));
}

bool SourceBackoff::is_backed_off(Source const& source, Core::Time now) const
{
    auto const found = m_states.find(source);
    return found != m_states.end() && now < found->second.backed_off_until;
}

}
