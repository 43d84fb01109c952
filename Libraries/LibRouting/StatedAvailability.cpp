// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/StatedAvailability.h>

#include <LibRouting/Incarnation.h>
#include <algorithm>
#include <utility>

namespace Routing {

static constexpr Core::Duration statement_lifetime { 600000 };

StatedAvailability::Server* StatedAvailability::statements_of(std::string const& server, std::optional<int64_t> started_at_ms, Core::Time now)
{
    auto& statements = m_servers[server];
    if (is_earlier_start(started_at_ms, statements.started_at_ms))
        return nullptr;
    if (is_earlier_start(statements.started_at_ms, started_at_ms))
        statements = {};
    if (started_at_ms)
        statements.started_at_ms = started_at_ms;
    statements.stated_at = now;
    return &statements;
}

bool StatedAvailability::set_leaving(std::string const& server, std::optional<int64_t> started_at_ms, Core::Time now)
{
    auto* statements = statements_of(server, started_at_ms, now);
    return statements && !std::exchange(statements->is_leaving, true);
}

void StatedAvailability::set_rest(std::string const& server, std::optional<int64_t> started_at_ms, Core::Time until, Core::Time now)
{
    if (auto* statements = statements_of(server, started_at_ms, now))
        statements->rest_until = std::max(statements->rest_until, until);
}

bool StatedAvailability::is_leaving(std::string const& server) const
{
    auto const found = m_servers.find(server);
    return found != m_servers.end() && found->second.is_leaving;
}

Core::Time StatedAvailability::rest_until(std::string const& server) const
{
    auto const found = m_servers.find(server);
    return found == m_servers.end() ? Core::Time(0) : found->second.rest_until;
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
    for (auto const& [id, server] : m_servers) {
        if (server.is_leaving)
            leaving[id] = server.started_at_ms;
    }
    return leaving;
}

void StatedAvailability::remove_old(Core::Time now)
{
    std::erase_if(m_servers, [&](auto const& entry) { return now - entry.second.stated_at > statement_lifetime && now >= entry.second.rest_until; });
}

}
