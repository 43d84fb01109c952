// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/StatedAvailability.h>

#include <LibRouting/Incarnation.h>

namespace Routing {

static constexpr Core::Duration statement_lifetime { 600000 };

bool StatedAvailability::set_leaving(std::string const& server, std::optional<int64_t> started_at_ms, Core::Time now)
{
    auto const [known, is_new] = m_servers.try_emplace(server, Server { started_at_ms, now });
    if (is_new)
        return true;
    if (!is_earlier_start(known->second.started_at_ms, started_at_ms))
        return false;
    known->second = { started_at_ms, now };
    return true;
}

void StatedAvailability::on_incarnation(std::string const& server, std::optional<int64_t> started_at_ms)
{
    auto const found = m_servers.find(server);
    if (found != m_servers.end() && is_earlier_start(found->second.started_at_ms, started_at_ms))
        m_servers.erase(found);
}

std::map<std::string, std::optional<int64_t>> StatedAvailability::leaving() const
{
    std::map<std::string, std::optional<int64_t>> leaving;
    for (auto const& [id, server] : m_servers)
        leaving[id] = server.started_at_ms;
    return leaving;
}

void StatedAvailability::remove_old(Core::Time now)
{
    std::erase_if(m_servers, [&](auto const& entry) { return now - entry.second.stated_at > statement_lifetime; });
}

}
