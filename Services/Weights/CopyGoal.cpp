// SPDX-License-Identifier: BSD-2-Clause
#include "CopyGoal.h"

#include <LibDistribution/GoalOrder.h>
#include <utility>

namespace Weights {

CopyGoal::CopyGoal(CopyFetcher& fetcher, Callbacks callbacks)
    : m_fetcher(fetcher)
    , m_callbacks(std::move(callbacks))
{
}

bool CopyGoal::name(Schema::WeightsGoal const& goal, Core::Time named_at)
{
    bool const has_source = goal.chunks > 0 || !goal.origin_address.empty();
    bool const is_older = m_present && goal.version < m_present->version;
    if (!has_source || is_older)
        return false;
    bool const is_present = m_present && goal.version == m_present->version && goal.model == m_present->model;
    if (is_present) {
        m_present = goal;
        // The first sender may have just started, and not have known when the version was named.
        m_named_at = std::min(m_named_at, named_at);
        m_fetcher.set_goal(goal, m_named_at);
        return false;
    }
    if (is_finishing_first(goal.version)) {
        m_next = Next { goal, named_at };
        return false;
    }
    turn_to(goal, named_at);
    return true;
}

void CopyGoal::take_next()
{
    if (!m_next || is_finishing_first(m_next->goal.version))
        return;
    auto const next = *std::exchange(m_next, {});
    turn_to(next.goal, next.named_at);
}

bool CopyGoal::is_finishing_first(int64_t newer) const
{
    bool const is_sought = m_present && m_callbacks.is_seeking(m_present->version);
    return is_sought && Distribution::is_worth_finishing(m_fetcher.stand(newer, Core::monotonic_now()));
}

void CopyGoal::turn_to(Schema::WeightsGoal const& goal, Core::Time named_at)
{
    if (m_callbacks.turning)
        m_callbacks.turning(goal, named_at);
    // The version that waited is older than this one.
    m_next.reset();
    m_present = goal;
    m_named_at = named_at;
    m_fetcher.set_goal(goal, named_at);
}

}
