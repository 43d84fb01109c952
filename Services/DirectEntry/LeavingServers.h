// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/ServerTable.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <string>
#include <vector>

namespace DirectEntry {

/// Tells the other entries, and the agent of the engine, of servers whose answers to this entry state that they leave.
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
    void on_message(Schema::LeavingServers const&, Core::Time now);

private:
    Routing::ServerTable& m_servers;
    Callbacks m_callbacks;
};

}
