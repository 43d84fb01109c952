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
        Schema::Message for_agent;
        for_agent.leaving_servers.emplace();
        for_agent.leaving_servers->servers = { server };
        if (auto const* record = m_servers.find(id))
            m_callbacks.send(Transport::split_address(record->address).first, for_agent);
    }
    for (auto const& entry : m_callbacks.entries())
        m_callbacks.send(entry, message);
    m_callbacks.changed();
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
    for (auto const& server : message.servers)
        m_servers.on_peer_saw_leaving(server.server, server.started_at_ms, now);
    m_callbacks.changed();
}

}
