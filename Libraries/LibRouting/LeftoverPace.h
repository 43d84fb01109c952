// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <algorithm>

namespace Routing {

/// How often a request that is late already gets a place, where those that can be in time go first.
class LeftoverPace {
public:
    /// Late requests wait from now on: time that passes before the first of them gets a place counts.
    void on_first_waiting(Core::Time now) { m_last = now; }

    /// A late request got a place while others may still wait.
    void on_sent(Core::Time now)
    {
        auto const gap = static_cast<double>((now - m_last).count());
        m_gap_ms = m_gap_ms < 0 ? gap : m_gap_ms + weight * (gap - m_gap_ms);
        m_last = now;
    }

    /// Expected time between two places; `usual` is taken until one was seen. A wait that has lasted longer already
    /// counts as it stands.
    Core::Duration gap(Core::Time now, Core::Duration usual) const
    {
        auto const seen = m_gap_ms < 0 ? usual : Core::Duration(static_cast<int64_t>(m_gap_ms));
        return std::max(seen, now - m_last);
    }

private:
    // Some ten places make the estimate.
    static constexpr double weight = 0.1;

    Core::Time m_last { 0 };
    double m_gap_ms { -1 };
};

}
