// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/ServerTable.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <string>
#include <vector>

namespace DirectEntry {

/// Tells the other entries of servers whose answers to this entry state that they leave, and tells the agents of all engines of which this
/// entry or another one learned it.
class LeavingServers {
public:
    struct Callbacks {
        /// The identities of the linked entries.
        std::function<std::vector<std::string>()> entries;
        /// Sends to an entry or an agent. An agent's identity is the IP address of its engine.
        std::function<void(std::string const& peer, Schema::Message const&)> send;
        /// The set of servers that leave has changed.
        std::function<void()> changed;
    };

    /// The table must outlive this object.
    LeavingServers(Routing::ServerTable&, Callbacks);

    /// Announces the servers of which it was learned since the last call. To be called every few tens of milliseconds.
    void announce_new(Core::Time now);
    void announce_all_to(std::string const& entry);
    /// Tells the agent at this IP address which servers there leave. To be called when the agent is linked.
    void announce_to_agent(std::string const& ip);
    /// Tells the agents of these servers that they leave. To be called when their list records have changed: an agent may have been linked
    /// before its engine was listed here.
    void announce_to_agents_of(std::vector<std::string> const& servers);
    void on_message(Schema::LeavingServers const&, Core::Time now);

private:
    void send_to_agent(std::string const& server, std::optional<int64_t> started_at_ms);

    Routing::ServerTable& m_servers;
    Callbacks m_callbacks;
};

}
