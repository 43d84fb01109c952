// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Configuration {

/// Times that tell how many writes of a backend server's record can be outstanding as it leaves, milliseconds.
struct ServerRecordTimes {
    /// Interval at which a backend server writes its record.
    Core::Duration heartbeat_interval { 1200 };
    /// The log loses no answer to a write for at least this long before a server leaves.
    Core::Duration contact_time { 3000 };
};

/// Tells whether a record in which a backend server accepts requests was written before the server left, that is, before it said that it
/// is draining, or its record was removed.
///
/// A write that got no answer may be carried out seconds later, so the position of a record does not show when it was written. A server
/// that drains accepts no requests again in the same incarnation. A removed server does if its record had only lapsed because the server
/// could not write it for a while; it then writes its record regularly, which delayed writes do not.
class DepartedServers {
public:
    void set_times(ServerRecordTimes const& times) { m_times = times; }

    /// A record that was read or received at `now` states that the server accepts requests.
    void on_accepting(std::string const& id, Core::Time now);

    /// A record states that the server is draining.
    void on_draining(Schema::BackendServer const&, int64_t position, Core::Time now);

    /// The server's record was removed.
    /// @param held the record that was known before; null if none was.
    /// @param written_after a time before which the record was not removed; std::nullopt if unknown.
    void on_removed(std::string const& id, Schema::BackendServer const* held, int64_t position, Core::Time now, std::optional<Core::Time> written_after);

    /// The log has come back from a copy, whose records are as old as the copy.
    void on_log_came_back_from_copy(Core::Time now);

    /// Counts a record in which a server accepts requests, and returns true if it must be taken as written before the server left. If
    /// not, the server has returned, and the departure is over.
    /// @param written_after a time before which the record did not reach the log; std::nullopt if unknown.
    bool count_if_delayed(Schema::BackendServer const&, int64_t position, std::optional<Core::Time> written_after);

    /// A peer stated at `position` that the server has left, which it did by the record at `departure_position`. Those between were written
    /// before.
    void on_peer_left_out_records(std::string const& id, int64_t position, int64_t departure_position);

    /// A peer knows that the server has returned by the record at that position.
    /// @return the position of the record by which the server had left, if it had not been known to have returned.
    std::optional<int64_t> on_peer_saw_return(std::string const& id, int64_t position);

    /// Position of the record by which the server last returned; std::nullopt if it has not.
    std::optional<int64_t> returned_at(std::string const& id) const;

    /// Whether the server has returned after the record at that position.
    bool has_returned_since(std::string const& id, int64_t position) const;

    /// Position of the record by which the server left, if the log's newest record of the server is one that was written before. A process
    /// that starts from a listing reads only that record.
    std::optional<int64_t> hidden_departure(std::string const& id) const;

private:
    enum class Kind {
        Draining,
        /// Its record was removed while the server wrote it regularly, or after the server had said that it is draining.
        Removed,
        /// Its record was removed after the server had not written it for a while.
        Lapsed,
    };

    struct Departure {
        Kind kind { Kind::Draining };
        /// Start of the incarnation that left, milliseconds since the epoch; std::nullopt if unknown.
        std::optional<int64_t> started_at_ms;
        int64_t position { 0 };
        /// When the last record of the departure was read.
        Core::Time left_at { 0 };
        /// Number of records since then in which the server accepts requests.
        int64_t later_records { 0 };
    };

    /// @param is_past_delay whether the record was written later than any delayed one can have been.
    bool has_returned(Schema::BackendServer const&, Departure const&, bool is_past_delay) const;
    /// The largest number of a server's records that can be carried out after it left.
    int64_t max_delayed_records() const;

    ServerRecordTimes m_times;
    std::map<std::string, Core::Time> m_last_accepting_at;
    std::map<std::string, Departure> m_departures;
    // Position of the record by which each server last returned.
    std::map<std::string, int64_t> m_returned_at;
};

}
