// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <algorithm>

namespace Routing {

/// Estimates the interval at which spare slots become available to late requests. A request is late if its answer can no longer begin
/// within the objective; requests that can still meet the objective get slots first.
class LeftoverPace {
public:
    /// The first late request begins to wait: the next interval is counted from `now`.
    void on_first_waiting(Core::Time now) { m_last = now; }

    /// A late request was sent to a spare slot: ends an interval and begins the next.
    void on_sent(Core::Time now)
    {
        auto const gap = static_cast<double>((now - m_last).count());
        m_gap_ms = m_gap_ms < 0 ? gap : m_gap_ms + weight * (gap - m_gap_ms);
        m_last = now;
    }

    /// Expected time between two spare slots: the smoothed interval, or `usual` until one interval was measured. If the current interval
    /// is already longer, its length so far.
    Core::Duration gap(Core::Time now, Core::Duration usual) const
    {
        auto const seen = m_gap_ms < 0 ? usual : Core::Duration(static_cast<int64_t>(m_gap_ms));
        return std::max(seen, now - m_last);
    }

private:
    // The estimate averages over about ten intervals.
    static constexpr double weight = 0.1;

    Core::Time m_last { 0 };
    double m_gap_ms { -1 };
};

}
