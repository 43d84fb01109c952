// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/LoadCheck.h>

namespace Distribution {

LoadCheck::LoadCheck(Core::Time taken_by, std::vector<std::optional<Core::Time>> const& verified_at, Core::Duration allowed_corruption)
    : m_taken_by(taken_by)
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

void LoadCheck::on_read_back(size_t chunk, ReadBack result, bool can_change_unseen)
{
    if (!is_due(chunk) || result == ReadBack::Unanswered)
        return;
    auto& state = m_chunks[chunk];
    // A late write of the same bytes may have repaired the chunk after it was taken.
    if (result == ReadBack::Right && can_change_unseen && !was_verified_in_time(state))
        return;
    // A chunk that is absent, or that a late write may have replaced, did not merely become corrupt.
    bool const is_acceptable = result == ReadBack::Right || (result == ReadBack::Wrong && was_verified_in_time(state) && !can_change_unseen);
    state.is_read = true;
    m_unread -= 1;
    if (!is_acceptable)
        m_verdict = Verdict::Doubtful;
    else if (m_unread == 0)
        m_verdict = Verdict::Whole;
}

}
