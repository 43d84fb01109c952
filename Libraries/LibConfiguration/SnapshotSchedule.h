// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <random>

namespace Configuration {

/// Decides when this process appends a snapshot of the replayed state to the log, so that a new one is there well before the log's
/// retention deletes the last. Every process waits a random time; a snapshot that it reads meanwhile restarts the wait.
class SnapshotSchedule {
public:
    /// `retention` is how long the platform keeps a record of the log; `seed` is for the random waiting times.
    SnapshotSchedule(Core::Duration retention, uint64_t seed);

    /// Restarts the wait after a snapshot record was read, whichever process wrote it.
    void on_snapshot_read(Core::Time now);

    /// Counts a record that is not a snapshot. After `records_between_snapshots` of them a snapshot is due at once.
    void on_record();

    /// Returns true if a snapshot is due now. Until one is read, a snapshot is due again after every `retry_interval`.
    bool poll_due(Core::Time now);

    static constexpr Core::Duration retry_interval { 10000 };
    // More records would take a new reader long to replay, and peers keep only the latest records.
    static constexpr uint64_t records_between_snapshots = 2000;

private:
    void schedule_next(Core::Time now);

    Core::Duration m_retention;
    std::mt19937_64 m_random;
    Core::Time m_due { 0 };
    bool m_is_scheduled { false };
    uint64_t m_records_since_snapshot { 0 };
};

}
