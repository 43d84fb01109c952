// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <random>

namespace Configuration {

/// Decides when this instance publishes a snapshot, so that the state is on the log again well before it lapses.
/// Every instance waits its own jittered time; a snapshot seen meanwhile starts the wait anew.
class SnapshotSchedule {
public:
    /// `retention` is how long the platform keeps a record.
    SnapshotSchedule(Core::Duration retention, uint64_t seed);

    /// A snapshot record was read, ours or another's.
    void on_snapshot_seen(Core::Time now);

    /// A record that is no snapshot was read.
    void on_record();

    /// True if one is due now. It stays due until one is seen, at most one every `retry_interval`.
    bool take_due(Core::Time now);

    static constexpr Core::Duration retry_interval { 10000 };
    // With many records a new reader would fold for long, and peers hold only the latest.
    static constexpr uint64_t records_between_snapshots = 2000;

private:
    void draw(Core::Time now);

    Core::Duration m_retention;
    std::mt19937_64 m_random;
    Core::Time m_due { 0 };
    bool m_is_drawn { false };
    uint64_t m_records { 0 };
};

}
