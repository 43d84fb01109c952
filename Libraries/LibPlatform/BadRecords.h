// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Metrics.h>
#include <LibPlatform/FactLog.h>
#include <set>
#include <string>
#include <utility>

namespace Platform {

/// Reports records of the platform's log that cannot be decoded. Counts each one in a metric, and logs only the first one of each key and
/// reason: a bad record that is written again each second would fill the log.
class BadRecords {
public:
    /// Largest number of pairs of key and reason that are remembered, and so of lines logged during the life of a process. Keys have
    /// at most 255 bytes, so this takes at most 400 KiB. It is twice the number of servers that the largest fleets list.
    static constexpr size_t max_logged = 1024;

    explicit BadRecords(Core::Metrics&);

    /// Counts the record, and logs it if it is the first of its key and reason and fewer than `max_logged` were logged.
    void report_record(BadRecord const&);

    /// Number of pairs of key and reason that were logged.
    size_t logged_count() const { return m_logged.size(); }

private:
    /// Remembers the key and reason of the record. Returns true if they are new, so that the record must be logged; false also once
    /// `max_logged` pairs are remembered.
    bool remember_if_new(BadRecord const&);

    Core::Metrics& m_metrics;
    std::set<std::pair<std::string, Core::ErrorCode>> m_logged;
};

}
