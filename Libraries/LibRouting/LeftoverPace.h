// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <algorithm>
#include <cmath>

namespace Routing {

/// How often a request that is late already gets a place, where those that can be in time go first.
///
/// The mean over about the last second that any of them waited. Places come in bursts, when engines have read what they
/// had: the last gap alone would be taken for a long one.
class LeftoverPace {
public:
    /// Late requests wait from now on: time that passes before the first of them gets a place counts.
    void on_first_waiting(Core::Time now) { m_last = now; }

    /// No engine serves: this time says nothing of how often places are left over once one does.
    void on_no_engine(Core::Time now) { m_last = now; }

    /// A late request got a place while others may still wait.
    void on_sent(Core::Time now)
    {
        auto const part = kept(now);
        m_waited_ms = waited_ms(part);
        m_places = m_places * part + 1;
        m_last = now;
    }

    /// Expected time between two places; `usual` counts as a few places seen at that interval.
    Core::Duration gap(Core::Time now, Core::Duration usual) const
    {
        auto const part = kept(now);
        auto const waited = waited_ms(part) + usual_weight * static_cast<double>(usual.count());
        return Core::Duration(static_cast<int64_t>(waited / (m_places * part + usual_weight)));
    }

private:
    // About what an engine takes for one request: by then its places are others'.
    static constexpr double memory_ms = 1000;
    // Places that the usual interval counts as: a few that are seen outweigh it.
    static constexpr double usual_weight = 3;

    /// The part of what was seen up to the last change that still counts.
    double kept(Core::Time now) const { return std::exp(-static_cast<double>((now - m_last).count()) / memory_ms); }
    double waited_ms(double part) const { return m_waited_ms * part + memory_ms * (1 - part); }

    Core::Time m_last { 0 };
    double m_waited_ms { 0 };
    double m_places { 0 };
};

}
