// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/SendPermits.h>

#include <LibRouting/Incarnation.h>
#include <algorithm>
#include <limits>
#include <utility>

namespace Routing {

// An unused permit is lost, so that permits that were issued over a long time are not all used at once.
static constexpr Core::Duration permit_lifetime { 500 };
static constexpr Core::Duration request_interval { 500 };
static constexpr Core::Duration probe_interval { 5000 };
// An entry that waits repeats its request, and the issuer answers each, within half of this time.
static constexpr Core::Duration demand_lifetime { 1000 };
static constexpr Core::Duration statement_lifetime { 600000 };

static double rate_of(std::optional<double> per_second)
{
    return per_second.value_or(std::numeric_limits<double>::infinity());
}

void SendPermits::on_answer(std::string const& server, std::optional<int64_t> started_at_ms, std::optional<double> per_second, Core::Time sent_at, Core::Time now)
{
    auto const found = m_servers.find(server);
    if (found == m_servers.end()) {
        if (!per_second)
            return;
        m_servers[server].limit = { per_second, now, started_at_ms };
        m_changed.insert(server);
        return;
    }
    auto& known = found->second.limit;
    if (is_earlier_start(started_at_ms, known.started_at_ms))
        return;
    auto const before = rate_of(known.per_second);
    bool const is_raised = rate_of(per_second) > before;
    auto const as_of = is_raised ? sent_at : now;
    if (as_of < known.as_of)
        return;
    known = { per_second, as_of, started_at_ms ? started_at_ms : known.started_at_ms };
    if (rate_of(per_second) != before)
        m_changed.insert(server);
}

bool SendPermits::on_peer_statement(std::string const& server, ServerLimit const& stated)
{
    if (is_earlier_start(stated.started_at_ms, m_latest_start(server)))
        return false;
    auto const found = m_servers.find(server);
    if (found == m_servers.end()) {
        m_servers[server].limit = stated;
        return true;
    }
    auto& known = found->second.limit;
    bool const is_outdated = stated.as_of <= known.as_of || is_earlier_start(stated.started_at_ms, known.started_at_ms);
    if (is_outdated)
        return false;
    known = { stated.per_second, stated.as_of, stated.started_at_ms ? stated.started_at_ms : known.started_at_ms };
    return true;
}

std::optional<ServerLimit> SendPermits::correction_of(std::string const& server, ServerLimit const& stated, Core::Time now) const
{
    auto const latest_start = m_latest_start(server);
    if (find(server) || !is_earlier_start(stated.started_at_ms, latest_start))
        return {};
    return ServerLimit { .per_second = {}, .as_of = now, .started_at_ms = latest_start };
}

void SendPermits::on_incarnation(std::string const& server, std::optional<int64_t> started_at_ms)
{
    auto const found = m_servers.find(server);
    if (found != m_servers.end() && is_earlier_start(found->second.limit.started_at_ms, started_at_ms))
        m_servers.erase(found);
}

ServerLimit const* SendPermits::find(std::string const& server) const
{
    auto const found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second.limit;
}

std::optional<double> SendPermits::limit(std::string const& server) const
{
    auto const* stated = find(server);
    return stated ? stated->per_second : std::nullopt;
}

bool SendPermits::may_send(std::string const& server, Core::Time now) const
{
    auto const found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.limit.per_second)
        return true;
    return !found->second.permits.empty() && found->second.permits.back() > now;
}

void SendPermits::on_sent(std::string const& server, Core::Time now)
{
    auto const found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    auto& permits = found->second.permits;
    while (!permits.empty() && permits.front() <= now)
        permits.pop_front();
    if (!permits.empty())
        permits.pop_front();
}

bool SendPermits::is_demand_known(Server const& server, Core::Time now)
{
    return server.demand_told_at && now - *server.demand_told_at < demand_lifetime;
}

void SendPermits::add_wanted(std::string const& server, Core::Time now)
{
    auto const found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    found->second.wanted += 1;
    if (!found->second.demand_unknown_since && !is_demand_known(found->second, now))
        found->second.demand_unknown_since = now;
}

void SendPermits::add_probe(std::string const& server, Core::Time now)
{
    auto const found = m_servers.find(server);
    if (found == m_servers.end() || (found->second.probed_at && now - *found->second.probed_at < probe_interval))
        return;
    found->second.probed_at = now;
    found->second.wanted += 1;
}

void SendPermits::add_permits(std::string const& server, int64_t count, Core::Time now)
{
    auto const found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    found->second.permits.insert(found->second.permits.end(), static_cast<size_t>(count), now + permit_lifetime);
    found->second.requested_at.reset();
}

void SendPermits::on_demand(std::string const& server, int64_t waiting_entries, Core::Time now)
{
    auto const found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    found->second.waiting_entries = static_cast<size_t>(std::max<int64_t>(1, waiting_entries));
    found->second.demand_told_at = now;
    found->second.demand_unknown_since.reset();
}

size_t SendPermits::sharing_entries(std::string const& server, size_t entries, size_t place, Core::Time now) const
{
    auto const found = m_servers.find(server);
    if (found == m_servers.end())
        return entries;
    auto const& known = found->second;
    if (is_demand_known(known, now))
        return std::min(known.waiting_entries, entries);
    bool const is_answer_expected = known.demand_unknown_since && now - *known.demand_unknown_since < request_interval;
    return is_answer_expected && place == 1 ? 1 : entries;
}

void SendPermits::drop_permits()
{
    for (auto& [id, server] : m_servers)
        server.permits.clear();
}

std::map<std::string, int64_t> SendPermits::take_wanted(Core::Time now)
{
    std::map<std::string, int64_t> wanted;
    for (auto& [id, server] : m_servers) {
        auto const count = std::exchange(server.wanted, 0);
        bool const is_requested = server.requested_at && now - *server.requested_at < request_interval;
        if (count == 0 || is_requested || !server.limit.per_second)
            continue;
        server.requested_at = now;
        wanted[id] = count;
    }
    return wanted;
}

std::set<std::string> SendPermits::take_changed()
{
    return std::exchange(m_changed, {});
}

void SendPermits::remove_old(Core::Time now)
{
    std::erase_if(m_servers, [&](auto const& entry) { return now - entry.second.limit.as_of > statement_lifetime; });
}

std::map<std::string, ServerLimit> SendPermits::limits() const
{
    std::map<std::string, ServerLimit> limits;
    for (auto const& [id, server] : m_servers)
        limits[id] = server.limit;
    return limits;
}

}
