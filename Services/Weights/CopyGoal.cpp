// SPDX-License-Identifier: BSD-2-Clause
#include "CopyGoal.h"

#include <LibDistribution/TransferProgress.h>
#include <utility>

namespace Weights {

CopyGoal::CopyGoal(CopyFetcher& fetcher, Callbacks callbacks)
    : m_fetcher(fetcher)
    , m_callbacks(std::move(callbacks))
{
}

bool CopyGoal::on_version_named(Schema::WeightsGoal const& goal, Core::Time named_at)
{
    bool const has_source = goal.chunks > 0 || !goal.origin_address.empty();
    bool const is_older = m_current && goal.version < m_current->version;
    if (!has_source || is_older)
        return false;
    bool const is_current = m_current && goal.version == m_current->version && goal.model == m_current->model;
    if (is_current) {
        m_current = goal;
        // The first sender may have just started, and not have known when the version was named.
        m_named_at = std::min(m_named_at, named_at);
        m_fetcher.set_goal(goal, m_named_at);
        return false;
    }
    if (must_finish_current_first(goal.version)) {
        m_next = Next { goal, named_at };
        return false;
    }
    switch_to(goal, named_at);
    return true;
}

void CopyGoal::switch_if_due()
{
    if (!m_next || must_finish_current_first(m_next->goal.version))
        return;
    auto const next = *std::exchange(m_next, {});
    switch_to(next.goal, next.named_at);
}

bool CopyGoal::must_finish_current_first(int64_t newer) const
{
    bool const is_needed = m_current && m_callbacks.is_seeking(m_current->version);
    return is_needed && Distribution::should_finish_first(m_fetcher.transfer_progress(newer, Core::monotonic_now()));
}

void CopyGoal::switch_to(Schema::WeightsGoal const& goal, Core::Time named_at)
{
    if (m_callbacks.before_switch)
        m_callbacks.before_switch(goal, named_at);
    // The version that waited is older than this one.
    m_next.reset();
    m_current = goal;
    m_named_at = named_at;
    m_fetcher.set_goal(goal, named_at);
}

}
