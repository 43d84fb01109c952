// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace Distribution {

/// What a read of a staged chunk found.
enum class ReadBack {
    Right,
    /// The bytes have another digest.
    Wrong,
    /// The engine has no such chunk staged.
    Absent,
    /// The engine did not answer.
    Unanswered,
};

/// Decides whether a load that the engine has taken is whole. The engine takes the staged chunks at a moment that is not known exactly, so a
/// read-back before the order alone does not show what was taken. Each chunk is therefore read once more after the order was taken.
///
/// Nothing may be written to the staging area from the sending of the order until the verdict. A chunk that is right afterwards was then
/// right when it was taken. One that is wrong afterwards may have become so at any time since it was last read back as right; this is
/// accepted if that is shorter than the time for which a load may contain a corrupt chunk.
class LoadCheck {
public:
    enum class Verdict {
        Open,
        Whole,
        /// Some chunk may have been missing, of another version or corrupt for too long.
        Doubtful,
    };

    /// @param taken_by the latest time at which the engine can have taken the order.
    /// @param verified_at when each chunk was last known to be right before the order, at the latest at `taken_by`.
    /// @param could_change_unseen whether a write that nobody waited for could change a chunk when the order was sent. A chunk that is wrong may
    /// then hold another version, and one that is right may have been repaired since the load.
    /// @param allowed_corruption the time for which a loaded chunk may have been corrupt, in milliseconds.
    LoadCheck(Core::Time taken_by, std::vector<std::optional<Core::Time>> const& verified_at, bool could_change_unseen, Core::Duration allowed_corruption);

    /// Returns a check of a load that is known to be whole.
    static LoadCheck of_whole_load();
    /// Returns a check of a load of which nothing can be shown, because the staging area was written meanwhile.
    static LoadCheck of_unknown_load();

    Verdict verdict() const { return m_verdict; }
    /// Whether the chunk must still be read.
    bool is_due(size_t chunk) const { return m_verdict == Verdict::Open && !m_chunks[chunk].is_read; }
    /// Records a read of the chunk that was sent after the order was taken. One that was not answered leaves the chunk due.
    void on_read_back(size_t chunk, ReadBack);

private:
    struct Chunk {
        std::optional<Core::Time> verified_at;
        bool is_read { false };
    };

    explicit LoadCheck(Verdict);
    bool was_verified_in_time(Chunk const&) const;

    Verdict m_verdict { Verdict::Open };
    Core::Time m_taken_by { 0 };
    bool m_could_change_unseen { false };
    Core::Duration m_allowed_corruption { 0 };
    std::vector<Chunk> m_chunks;
    size_t m_unread { 0 };
};

}
