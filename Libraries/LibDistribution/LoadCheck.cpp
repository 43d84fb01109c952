// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/LoadCheck.h>

namespace Distribution {

LoadCheck::LoadCheck(Core::Time taken_by, std::vector<std::optional<Core::Time>> const& verified_at, bool could_change_unseen, Core::Duration allowed_corruption)
    : m_taken_by(taken_by)
    , m_could_change_unseen(could_change_unseen)
    , m_allowed_corruption(allowed_corruption)
    , m_unread(verified_at.size())
{
    for (auto const& at : verified_at)
        m_chunks.push_back({ at, false });
}

LoadCheck::LoadCheck(Verdict verdict)
    : m_verdict(verdict)
{
}

LoadCheck LoadCheck::of_whole_load()
{
    return LoadCheck(Verdict::Whole);
}

LoadCheck LoadCheck::of_unknown_load()
{
    return LoadCheck(Verdict::Doubtful);
}

bool LoadCheck::was_verified_in_time(Chunk const& chunk) const
{
    return chunk.verified_at && m_taken_by - *chunk.verified_at <= m_allowed_corruption;
}

void LoadCheck::on_read_back(size_t chunk, ReadBack result)
{
    if (!is_due(chunk) || result == ReadBack::Unanswered)
        return;
    auto& state = m_chunks[chunk];
    bool const is_in_time = was_verified_in_time(state);
    // A late write of the same bytes may have repaired a chunk after it was taken. One that is absent, or that a late write may have replaced,
    // did not merely become corrupt.
    bool const is_acceptable = result == ReadBack::Right ? is_in_time || !m_could_change_unseen
                                                         : result == ReadBack::Wrong && is_in_time && !m_could_change_unseen;
    state.is_read = true;
    m_unread -= 1;
    if (!is_acceptable)
        m_verdict = Verdict::Doubtful;
    else if (m_unread == 0)
        m_verdict = Verdict::Whole;
}

}
