// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/FollowedEngines.h>

#include <utility>

namespace Routing {

// An entry that has just started knows no other entries yet, and would follow all engines. For this long it follows a few of the
// nearest engines only. It learns of other entries within one or two round trips of its first link, which takes some 100 ms.
static constexpr Core::Duration discovery_time { 1500 };
static constexpr size_t max_engines_during_discovery = 64;
// The owners of engines change with the demand, every second. Links are kept for a few such changes.
static constexpr Core::Duration use_retention { 5000 };

FollowedEngines::FollowedEngines(SharingEntry self, RegionByDomain regions)
    : m_self(std::move(self))
    , m_regions(std::move(regions))
{
}

bool FollowedEngines::update(std::vector<SharedEngine> engines, std::vector<SharingEntry> const& entries, std::set<std::string> const& used, Core::Time now)
{
    if (!m_listed_since && !engines.empty())
        m_listed_since = now;
    for (auto const& ip : used)
        m_followed_for_use_until[ip] = now + use_retention;
    std::erase_if(m_followed_for_use_until, [&](auto const& entry) { return entry.second <= now; });
    bool const is_discovering = m_listed_since && now - *m_listed_since < discovery_time;
    if (is_discovering)
        engines = nearest_engines(m_self, std::move(engines), max_engines_during_discovery, m_regions);
    std::set<std::string> followed;
    for (auto const& engine : engines) {
        if (m_followed_for_use_until.contains(engine.id) || follows_engine(m_self, entries, engine, m_regions))
            followed.insert(engine.id);
    }
    bool const has_changed = followed != m_followed;
    m_followed = std::move(followed);
    return has_changed;
}

}
