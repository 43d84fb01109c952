// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/FollowedEngines.h>

#include <utility>

namespace Routing {

// An entry that has just started knows no others yet, and would follow all engines: for this long it follows a few near
// ones. Other entries are heard of within a round trip or two of the first link, which takes some 100 ms.
static constexpr Core::Duration discovery_time { 1500 };
static constexpr size_t engines_before_acquaintance = 64;
// Whom engines are dealt to changes with the demand of each second: a link outlasts a few such changes.
static constexpr Core::Duration use_memory { 5000 };

FollowedEngines::FollowedEngines(SharingEntry self, Regions regions)
    : m_self(std::move(self))
    , m_regions(std::move(regions))
{
}

bool FollowedEngines::update(std::vector<SharedEngine> engines, std::vector<SharingEntry> const& entries, std::set<std::string> const& used, Core::Time now)
{
    if (!m_listed_since && !engines.empty())
        m_listed_since = now;
    for (auto const& ip : used)
        m_used_until[ip] = now + use_memory;
    std::erase_if(m_used_until, [&](auto const& entry) { return entry.second <= now; });
    bool const is_new_here = m_listed_since && now - *m_listed_since < discovery_time;
    if (is_new_here)
        engines = nearest_engines(m_self, std::move(engines), engines_before_acquaintance, m_regions);
    std::set<std::string> followed;
    for (auto const& engine : engines) {
        if (m_used_until.contains(engine.id) || follows_engine(m_self, entries, engine, m_regions))
            followed.insert(engine.id);
    }
    bool const has_changed = followed != m_followed;
    m_followed = std::move(followed);
    return has_changed;
}

}
