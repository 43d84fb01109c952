// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/ReplayedState.h>
#include <deque>
#include <vector>

namespace Configuration {

/// A response of the log service.
struct LogBatch {
    /// Lowest offset that the log still retains.
    int64_t first_retained { 0 };
    /// Offset that the next appended record will get.
    int64_t end { 0 };
    std::vector<Schema::Record> records;
};

/// A process's copy of the operator's configuration: the replayed state, and enough recent records to bring peers up to date.
///
/// It is updated from the log and from peers that have read further. Its offset never decreases, in whatever order updates arrive.
class Replica {
public:
    /// The state after the last record that was applied.
    ReplayedState const& replayed_state() const { return m_state; }

    /// Returns the offset to read the log from next.
    int64_t next_offset() const;

    /// Applies a batch that was read from the log at next_offset(). If the log no longer retains the next record, the replica
    /// restarts from a snapshot among the newer records.
    /// @return true if the offset of the state advanced.
    bool on_log(LogBatch const&);

    /// Applies consecutive records from a peer. Records that were already applied are skipped, and those after a gap are ignored.
    /// @return true if the offset of the state advanced.
    bool on_records(std::vector<Schema::Record> const&);

    /// Replaces the state by a peer's snapshot if that is at a higher offset and can be parsed.
    /// @return true if the offset of the state advanced.
    bool on_snapshot(Schema::Snapshot const&);

    /// Applies the records or the snapshot in a peer's message; any other message is ignored.
    /// @return true if the offset of the state advanced.
    bool on_message(Schema::Message const&);

    /// Returns the messages that bring a peer whose state is at `offset` up to this state: records if they are still in memory, otherwise
    /// a snapshot. Empty if the peer is not behind.
    std::vector<Schema::Message> messages_since(int64_t offset) const;

    /// Returns the body of a snapshot record, from which other processes can start after the log has deleted older records.
    std::string snapshot_record() const;

    /// Number of snapshot records in the log whose digest differs from this state's digest at the same offset. More than 0 is a fault.
    uint64_t divergences() const { return m_divergences; }

    /// Offset of the last snapshot record that was applied, or `no_offset`.
    int64_t newest_snapshot_offset() const { return m_newest_snapshot_offset; }

private:
    void apply_record(Schema::Record const&);
    /// Compares the digest of a snapshot record with the digest of this process at the same offset.
    void compare_snapshot_digest(Schema::Record const&);
    /// Restarts from the first usable snapshot in the batch. Records are buffered until one is found.
    bool start_from_snapshot(LogBatch const&);

    ReplayedState m_state;
    std::deque<Schema::Record> m_recent_records;
    size_t m_recent_bytes { 0 };
    // Consecutive records that were read while no snapshot to restart from was found.
    std::vector<Schema::Record> m_buffered_records;
    // The digests after each of the latest records, with their offsets.
    std::deque<std::pair<int64_t, std::string>> m_recent_chains;
    uint64_t m_divergences { 0 };
    int64_t m_newest_snapshot_offset { no_offset };
};

}
