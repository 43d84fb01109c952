// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Routing {

/// What backend servers stated in answers about taking new requests. A statement holds for one incarnation, and outlives a lapse of the
/// server's list record.
class StatedAvailability {
public:
    /// The incarnation of the server that started then leaves: it ends soon, and takes no new requests.
    /// @return false if that was known.
    bool set_leaving(std::string const& server, std::optional<int64_t> started_at_ms, Core::Time now);

    /// Drops what an incarnation before the one that started then has stated.
    void on_incarnation(std::string const& server, std::optional<int64_t> started_at_ms);

    bool is_leaving(std::string const& server) const { return m_servers.contains(server); }

    /// Returns the start of the incarnation that leaves, for each server that stated it.
    std::map<std::string, std::optional<int64_t>> leaving() const;

    /// Removes statements that are ten minutes old: no server takes that long to end.
    void remove_old(Core::Time now);

private:
    struct Server {
        std::optional<int64_t> started_at_ms;
        Core::Time stated_at { 0 };
    };

    std::map<std::string, Server> m_servers;
};

}
