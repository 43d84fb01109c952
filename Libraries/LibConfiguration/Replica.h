// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/Fold.h>
#include <deque>
#include <vector>

namespace Configuration {

/// One answer of the log service.
struct LogBatch {
    /// Oldest offset still kept.
    int64_t first_retained { 0 };
    /// Offset that the next append will get.
    int64_t end { 0 };
    std::vector<Schema::Record> records;
};

/// A process's copy of the configuration: the fold, and enough recent records to bring peers up to date.
///
/// It is fed from the log, or by peers that read further; whatever comes, it never goes back.
class Replica {
public:
    Fold const& fold() const { return m_fold; }

    /// The offset to read the log from next.
    int64_t next_offset() const;

    /// Takes a batch read from the log at next_offset().
    /// Where the records that it needs have lapsed, it starts again from a snapshot among the newer ones.
    /// @return true if the fold moved on.
    bool on_log(LogBatch const&);

    /// Takes records from a peer; records already folded are skipped and a gap ends the run.
    /// @return true if the fold moved on.
    bool on_records(std::vector<Schema::Record> const&);

    /// Takes a peer's snapshot if it is ahead.
    /// @return true if the fold moved on.
    bool on_snapshot(Schema::Snapshot const&);

    /// Takes records or a snapshot out of a message of a peer; any other message is none of its business.
    /// @return true if the fold moved on.
    bool on_message(Schema::Message const&);

    /// What a peer at `offset` must be sent to reach this fold: records if they are still at hand, otherwise a snapshot.
    std::vector<Schema::Message> messages_since(int64_t offset) const;

    /// The record that lets others start once older records have lapsed.
    std::string snapshot_record() const;

    /// Snapshot records on the log whose digest disagreed with this fold. Anything above 0 is a fault.
    uint64_t divergences() const { return m_divergences; }

    /// Offset of the newest snapshot record that was read, or `no_offset`.
    int64_t newest_snapshot_offset() const { return m_newest_snapshot_offset; }

private:
    void fold_record(Schema::Record const&);
    void look_for_snapshot(Schema::Record const&);
    bool start_from_snapshot(LogBatch const&);

    Fold m_fold;
    std::deque<Schema::Record> m_recent;
    size_t m_recent_bytes { 0 };
    // Records read while no snapshot to start from was seen yet.
    std::vector<Schema::Record> m_waiting;
    std::deque<std::pair<int64_t, std::string>> m_chains;
    uint64_t m_divergences { 0 };
    int64_t m_newest_snapshot_offset { no_offset };
};

}
