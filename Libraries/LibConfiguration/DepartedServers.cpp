// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/DepartedServers.h>

#include <algorithm>

namespace Configuration {

// A write without an answer is carried out within this time, or never (the platform's specification: up to 6 s).
static constexpr Core::Duration longest_write_delay { 6000 };
// A server that leaves writes its record up to its removal. Without a record for this many intervals it had stopped before.
static constexpr double intervals_of_a_lapse = 1.5;

void DepartedServers::on_accepting(std::string const& id, Core::Time now)
{
    m_last_accepting_at[id] = now;
}

void DepartedServers::on_draining(Schema::BackendServer const& server, int64_t position, Core::Time now)
{
    auto& departure = m_departures[server.id];
    departure = { Kind::Draining, server.started_at_ms, std::max(departure.position, position), now, 0 };
}

void DepartedServers::on_removed(std::string const& id, Schema::BackendServer const* held, int64_t position, Core::Time now, std::optional<Core::Time> written_after)
{
    auto const known = m_departures.find(id);
    bool const had_left = known != m_departures.end();
    if (had_left && known->second.kind != Kind::Lapsed) {
        // The store removes a delayed record as well. That does not postpone the return of the server.
        auto& departure = known->second;
        departure.left_at = departure.kind == Kind::Draining ? now : departure.left_at;
        departure.kind = Kind::Removed;
        departure.position = std::max(departure.position, position);
        departure.later_records = 0;
        return;
    }
    auto const last = m_last_accepting_at.find(id);
    auto const lapse = Core::Duration(static_cast<int64_t>(intervals_of_a_lapse * static_cast<double>(m_times.heartbeat_interval.count())));
    bool const has_lapsed = last != m_last_accepting_at.end() && written_after && *written_after - last->second >= lapse;
    auto const started_at_ms = held ? held->started_at_ms : had_left ? known->second.started_at_ms
                                                                     : std::nullopt;
    m_departures[id] = { has_lapsed ? Kind::Lapsed : Kind::Removed, started_at_ms, position, now, 0 };
}

void DepartedServers::on_log_came_back_from_copy(Core::Time now)
{
    for (auto& [id, departure] : m_departures) {
        departure.left_at = now;
        departure.later_records = 0;
    }
}

int64_t DepartedServers::max_delayed_records() const
{
    auto const writes_before_contact = std::max(Core::Duration(0), longest_write_delay - m_times.contact_time);
    return writes_before_contact / m_times.heartbeat_interval + 1;
}

bool DepartedServers::has_returned(Schema::BackendServer const& server, Departure const& departure, bool is_past_delay) const
{
    bool const has_both_starts = server.started_at_ms && departure.started_at_ms;
    if (has_both_starts && *departure.started_at_ms < *server.started_at_ms)
        return true;
    bool const is_repeated = departure.later_records > max_delayed_records();
    switch (departure.kind) {
    case Kind::Draining:
        // An incarnation never accepts requests again; without a start it cannot be told from the next one.
        return !has_both_starts && is_repeated && is_past_delay;
    case Kind::Removed:
        return is_repeated || is_past_delay;
    case Kind::Lapsed:
        return true;
    }
    return false;
}

bool DepartedServers::count_if_delayed(Schema::BackendServer const& server, int64_t position, std::optional<Core::Time> written_after)
{
    auto const found = m_departures.find(server.id);
    if (found == m_departures.end())
        return false;
    auto& departure = found->second;
    departure.later_records += 1;
    bool const is_past_delay = written_after && *written_after - departure.left_at >= longest_write_delay;
    if (!has_returned(server, departure, is_past_delay))
        return true;
    m_returned_at[server.id] = position;
    m_departures.erase(found);
    return false;
}

void DepartedServers::on_peer_left_out_records(std::string const& id, int64_t position, int64_t departure_position)
{
    auto const departure = m_departures.find(id);
    bool const is_same = departure != m_departures.end() && departure->second.position == position;
    if (!is_same)
        return;
    departure->second.position = departure_position;
    departure->second.later_records = std::max<int64_t>(1, departure->second.later_records);
}

std::optional<int64_t> DepartedServers::on_peer_saw_return(std::string const& id, int64_t position)
{
    auto const departure = m_departures.find(id);
    bool const is_over = departure != m_departures.end() && departure->second.position < position;
    if (!is_over)
        return {};
    auto const departure_position = departure->second.position;
    m_returned_at[id] = position;
    m_departures.erase(departure);
    return departure_position;
}

std::optional<int64_t> DepartedServers::returned_at(std::string const& id) const
{
    auto const returned = m_returned_at.find(id);
    return returned == m_returned_at.end() ? std::nullopt : std::optional(returned->second);
}

bool DepartedServers::has_returned_since(std::string const& id, int64_t position) const
{
    auto const returned = returned_at(id);
    return returned && position < *returned;
}

std::optional<int64_t> DepartedServers::hidden_departure(std::string const& id) const
{
    auto const found = m_departures.find(id);
    bool const is_hidden = found != m_departures.end() && found->second.later_records > 0;
    return is_hidden ? std::optional(found->second.position) : std::nullopt;
}

}
