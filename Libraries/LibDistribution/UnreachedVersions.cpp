// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/UnreachedVersions.h>

namespace Distribution {

void UnreachedVersions::on_named(int64_t version, Core::Time named_at)
{
    m_named_at.try_emplace(version, named_at);
}

void UnreachedVersions::on_serving(int64_t version)
{
    m_named_at.erase(m_named_at.begin(), m_named_at.upper_bound(version));
}

std::optional<Core::Time> UnreachedVersions::oldest_named_at() const
{
    if (m_named_at.empty())
        return {};
    return m_named_at.begin()->second;
}

}
