// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <algorithm>

namespace Routing {

/// Estimates the interval at which spare slots become available to late requests. A request is late if its answer can no longer begin
/// within the objective; requests that can still meet the objective get slots first.
class SpareSlotInterval {
public:
    /// The first late request begins to wait: the next interval is counted from `now`.
    void on_wait_started(Core::Time now) { m_last_slot_at = now; }

    /// A late request was sent to a spare slot: ends an interval and begins the next.
    void on_sent(Core::Time now)
    {
        auto const interval = static_cast<double>((now - m_last_slot_at).count());
        m_interval_ms = m_interval_ms < 0 ? interval : m_interval_ms + smoothing * (interval - m_interval_ms);
        m_last_slot_at = now;
    }

    /// Expected time between two spare slots: the smoothed interval, or `fallback` until one interval was measured. If the current interval
    /// is already longer, its length so far.
    Core::Duration expected_interval(Core::Time now, Core::Duration fallback) const
    {
        auto const measured = m_interval_ms < 0 ? fallback : Core::Duration(static_cast<int64_t>(m_interval_ms));
        return std::max(measured, now - m_last_slot_at);
    }

private:
    // The estimate averages over about ten intervals.
    static constexpr double smoothing = 0.1;

    Core::Time m_last_slot_at { 0 };
    // The smoothed interval; -1 until one was measured.
    double m_interval_ms { -1 };
};

}
