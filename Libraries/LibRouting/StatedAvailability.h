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
    /// The incarnation of the server that started at `started_at_ms` leaves: it ends soon, and takes no new requests.
    /// @return false if that was known, or a later incarnation is.
    bool set_leaving(std::string const& server, std::optional<int64_t> started_at_ms, Core::Time now);

    /// The incarnation of the server that started at `started_at_ms` wants no requests from this entry before `until`.
    void set_rest(std::string const& server, std::optional<int64_t> started_at_ms, Core::Time until, Core::Time now);

    /// Drops what an incarnation before the one that started then has stated.
    void on_incarnation(std::string const& server, std::optional<int64_t> started_at_ms);

    bool is_leaving(std::string const& server) const;
    /// When the last rest ends that the server asked for; 0 if it asked for none.
    Core::Time rest_until(std::string const& server) const;

    /// Returns the start of the incarnation that leaves, for each server that stated it.
    std::map<std::string, std::optional<int64_t>> leaving() const;

    /// Removes statements that are ten minutes old, as no server takes that long to end, once their rest is over.
    void remove_old(Core::Time now);

private:
    struct Server {
        std::optional<int64_t> started_at_ms;
        Core::Time stated_at { 0 };
        bool is_leaving { false };
        Core::Time rest_until { 0 };
    };

    /// The statements of this incarnation of a server; those of an earlier one are dropped. Null if a later one is known.
    Server* statements_of(std::string const& server, std::optional<int64_t> started_at_ms, Core::Time now);

    std::map<std::string, Server> m_servers;
};

}
