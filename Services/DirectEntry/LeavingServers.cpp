// SPDX-License-Identifier: BSD-2-Clause
#include "LeavingServers.h"

#include <LibCore/Log.h>
#include <LibTransport/SocketAddress.h>
#include <utility>

namespace DirectEntry {

LeavingServers::LeavingServers(Routing::ServerTable& servers, Callbacks callbacks)
    : m_servers(servers)
    , m_callbacks(std::move(callbacks))
{
}

void LeavingServers::announce_new(Core::Time now)
{
    m_servers.remove_old_statements(now);
    auto const newly_leaving = m_servers.take_newly_leaving();
    if (newly_leaving.empty())
        return;
    auto const leaving = m_servers.stated_leaving();
    Schema::Message message;
    message.leaving_servers.emplace();
    for (auto const& id : newly_leaving) {
        auto const stated = leaving.find(id);
        if (stated == leaving.end())
            continue;
        Schema::LeavingServer const server { .server = id, .started_at_ms = stated->second };
        message.leaving_servers->servers.push_back(server);
        Core::log_event(Core::LogLevel::Info, "server_leaves", { { "server", id } });
        send_to_agent(id, stated->second);
    }
    for (auto const& entry : m_callbacks.entries())
        m_callbacks.send(entry, message);
    m_callbacks.changed();
}

void LeavingServers::send_to_agent(std::string const& server, std::optional<int64_t> started_at_ms)
{
    auto const* record = m_servers.find(server);
    if (!record)
        return;
    Schema::Message message;
    message.leaving_servers.emplace();
    message.leaving_servers->servers.push_back({ .server = server, .started_at_ms = started_at_ms });
    m_callbacks.send(Transport::split_address(record->address).first, message);
}

void LeavingServers::announce_to_agents_of(std::vector<std::string> const& servers)
{
    auto const leaving = m_servers.stated_leaving();
    for (auto const& id : servers) {
        auto const stated = leaving.find(id);
        if (stated != leaving.end())
            send_to_agent(id, stated->second);
    }
}

void LeavingServers::announce_to_agent(std::string const& ip)
{
    for (auto const& [id, started_at_ms] : m_servers.stated_leaving()) {
        auto const* record = m_servers.find(id);
        if (record && Transport::split_address(record->address).first == ip)
            send_to_agent(id, started_at_ms);
    }
}

void LeavingServers::announce_all_to(std::string const& entry)
{
    Schema::Message message;
    message.leaving_servers.emplace();
    for (auto const& [id, started_at_ms] : m_servers.stated_leaving())
        message.leaving_servers->servers.push_back({ .server = id, .started_at_ms = started_at_ms });
    if (!message.leaving_servers->servers.empty())
        m_callbacks.send(entry, message);
}

void LeavingServers::on_message(Schema::LeavingServers const& message, Core::Time now)
{
    std::vector<std::string> ids;
    for (auto const& server : message.servers) {
        m_servers.on_peer_saw_leaving(server.server, server.started_at_ms, now);
        ids.push_back(server.server);
    }
    // The agents may be linked to this entry and not to the one that learned of it.
    announce_to_agents_of(ids);
    m_callbacks.changed();
}

}
