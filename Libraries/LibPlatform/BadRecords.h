// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Metrics.h>
#include <LibPlatform/FactLog.h>
#include <set>
#include <string>
#include <utility>

namespace Platform {

/// Tells of records that cannot be read: counts each, and logs the first of each key and reason, as one that is written
/// again each second would fill the log.
class BadRecords {
public:
    /// Keys with reasons that are remembered, and so lines that are written in a process's life. Keys have 255 bytes at most,
    /// so this takes 400 KiB at most, for twice as many servers as the largest fleets list.
    static constexpr size_t most_remembered = 1024;

    explicit BadRecords(Core::Metrics&);

    void note(BadRecord const&);

    size_t remembered() const { return m_told.size(); }

private:
    /// Whether this is the first of its key and reason, and a line is due.
    bool remember(BadRecord const&);

    Core::Metrics& m_metrics;
    std::set<std::pair<std::string, Core::ErrorCode>> m_told;
};

}
