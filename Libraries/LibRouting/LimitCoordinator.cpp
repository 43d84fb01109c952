// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/LimitCoordinator.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace Routing {

// An issuer whose links are silent is noticed by the others within this time, and so is a new one.
static constexpr Core::Duration takeover_delay { 3000 };
// An entry that was lost and is alive reaches this one again within this time, unless they are cut off from each other for long.
static constexpr Core::Duration unreachable_entry_lifetime { 60000 };
// A limit that changes with each answer is not sent to all entries each time.
static constexpr Core::Duration publish_interval { 250 };
// More permits at once than any entry has waiting requests.
static constexpr int64_t max_permits_per_message = 10000;

LimitCoordinator::LimitCoordinator(std::string identity, SendPermits& permits, Core::Time now, Send send)
    : m_identity(std::move(identity))
    , m_permits(permits)
    , m_send(std::move(send))
    , m_issues_from(now + takeover_delay)
{
}

void LimitCoordinator::on_entry_linked(std::string const& entry, Core::Time now)
{
    if (m_linked.contains(entry))
        return;
    for (auto const& [server, limit] : m_permits.limits()) {
        if (issuer(server) == m_identity)
            m_collected[entry].limits.push_back(statement(server, limit, now));
    }
    m_linked.insert(entry);
    m_lost.erase(entry);
    m_unreachable.erase(entry);
    m_issuer_cache.clear();
    send_collected();
}

void LimitCoordinator::on_entry_lost(std::string const& entry, Core::Time now)
{
    if (m_linked.erase(entry) == 0)
        return;
    auto const stated = m_stated_issuing.extract(entry);
    bool const has_stopped = stated && !stated.mapped().issues_permits && stated.mapped().has_issued;
    if (!has_stopped) {
        m_lost[entry] = now;
        m_unreachable[entry] = now;
    }
    m_issuer_cache.clear();
    for (auto& [server, issuer] : m_issuers)
        issuer.remove(entry);
}

void LimitCoordinator::remove_lost(Core::Time now)
{
    auto const removed = std::erase_if(m_lost, [&](auto const& lost) { return now - lost.second >= takeover_delay; });
    if (removed > 0)
        m_issuer_cache.clear();
    std::erase_if(m_unreachable, [&](auto const& lost) { return now - lost.second >= unreachable_entry_lifetime; });
}

void LimitCoordinator::on_resumed(Core::Time now)
{
    m_issues_from = now + takeover_delay;
    m_issuers.clear();
    m_permits.drop_permits();
}

void LimitCoordinator::on_issuing_stated(std::string const& entry, bool issues_permits)
{
    if (!m_linked.contains(entry))
        return;
    auto& stated = m_stated_issuing[entry];
    stated.has_issued = stated.has_issued || issues_permits;
    if (std::exchange(stated.issues_permits, issues_permits) != issues_permits)
        m_issuer_cache.clear();
}

void LimitCoordinator::stop_issuing()
{
    bool const do_all_know = std::all_of(m_linked.begin(), m_linked.end(), [&](auto const& entry) { return m_stated_issuing.contains(entry); });
    if (!do_all_know)
        return;
    m_state = State::Stopping;
    m_issuer_cache.clear();
}

void LimitCoordinator::begin_issuing(Core::Time now)
{
    if (m_state != State::Starting || now < m_issues_from)
        return;
    m_state = State::Issuing;
    m_issuer_cache.clear();
}

std::vector<std::string> LimitCoordinator::candidates() const
{
    std::vector<std::string> candidates;
    if (is_issuing())
        candidates.push_back(m_identity);
    for (auto const& entry : m_linked) {
        auto const stated = m_stated_issuing.find(entry);
        if (stated == m_stated_issuing.end() || stated->second.issues_permits)
            candidates.push_back(entry);
    }
    for (auto const& [entry, lost_at] : m_lost)
        candidates.push_back(entry);
    if (!candidates.empty())
        return candidates;
    // All entries start or stop together.
    candidates.assign(m_linked.begin(), m_linked.end());
    candidates.push_back(m_identity);
    return candidates;
}

std::string const& LimitCoordinator::issuer(std::string const& server)
{
    auto const [cached, is_new] = m_issuer_cache.try_emplace(server);
    if (is_new)
        cached->second = Core::rendezvous_order(server, candidates()).front();
    return cached->second;
}

bool LimitCoordinator::is_issuer(std::string const& server, Core::Time now)
{
    return now >= m_issues_from && issuer(server) == m_identity;
}

Schema::LimitStatement LimitCoordinator::statement(std::string const& server, ServerLimit const& limit, Core::Time now) const
{
    Schema::LimitStatement statement {};
    statement.server = server;
    statement.per_second = limit.per_second;
    statement.started_at_ms = limit.started_at_ms;
    statement.age_ms = (now - limit.as_of).count();
    return statement;
}

void LimitCoordinator::publish(std::string const& server, Core::Time now)
{
    auto const* limit = m_permits.find(server);
    if (!limit)
        return;
    auto const& issuer = this->issuer(server);
    if (issuer != m_identity) {
        m_collected[issuer].limits.push_back(statement(server, *limit, now));
        return;
    }
    for (auto const& entry : m_linked)
        m_collected[entry].limits.push_back(statement(server, *limit, now));
}

void LimitCoordinator::publish_due(Core::Time now)
{
    m_unpublished.merge(m_permits.take_changed());
    std::erase_if(m_unpublished, [&](auto const& server) {
        auto const [published_at, is_first] = m_published_at.try_emplace(server, now);
        if (!is_first && now - published_at->second < publish_interval)
            return false;
        published_at->second = now;
        publish(server, now);
        return true;
    });
    std::erase_if(m_published_at, [&](auto const& published) { return now - published.second >= publish_interval; });
}

void LimitCoordinator::on_message(std::string const& from, Schema::LimitExchange const& message, Core::Time now)
{
    begin_issuing(now);
    for (auto const& stated : message.limits) {
        ServerLimit const limit { stated.per_second, now - Core::Duration(std::max<int64_t>(0, stated.age_ms)), stated.started_at_ms };
        bool const is_news = m_permits.on_peer_statement(stated.server, limit);
        if (is_news && issuer(stated.server) == m_identity)
            m_unpublished.insert(stated.server);
        auto const* known = m_permits.find(stated.server);
        if (!is_news && known && known->as_of > limit.as_of && known->per_second != limit.per_second)
            m_collected[from].limits.push_back(statement(stated.server, *known, now));
        // An entry that does not know the later incarnation yet would wait for permits that nobody issues.
        if (auto const correction = m_permits.correction_of(stated.server, limit, now))
            m_collected[from].limits.push_back(statement(stated.server, *correction, now));
    }
    for (auto const& requested : message.requests)
        take_request(from, requested.server, std::clamp<int64_t>(requested.count, 0, max_permits_per_message), now);
    for (auto const& issued : message.permits) {
        if (issuer(issued.server) == from)
            m_permits.add_permits(issued.server, std::clamp<int64_t>(issued.count, 0, max_permits_per_message), now);
    }
    for (auto const& demand : message.demands.value_or(std::vector<Schema::PermitDemand> {})) {
        if (issuer(demand.server) == from)
            m_permits.on_demand(demand.server, demand.waiting_entries, now);
    }
    issue_permits(now);
    for (auto const& requested : message.requests)
        tell_demand(from, requested.server, now);
    send_collected();
}

void LimitCoordinator::tell_demand(std::string const& entry, std::string const& server, Core::Time now)
{
    auto const issuer = m_issuers.find(server);
    if (issuer == m_issuers.end())
        return;
    // A smaller share of the limit is like more entries that share it.
    auto const waiting = std::max<size_t>(1, issuer->second.waiting_entries());
    auto const sharing = static_cast<int64_t>(std::ceil(static_cast<double>(waiting) / reachable_share()));
    if (entry == m_identity) {
        m_permits.on_demand(server, sharing, now);
        return;
    }
    auto& demands = m_collected[entry].demands;
    if (!demands)
        demands.emplace();
    demands->push_back({ .server = server, .waiting_entries = sharing });
}

void LimitCoordinator::request_permits(Core::Time now)
{
    for (auto const& [server, count] : m_permits.take_wanted(now)) {
        auto const& issuer = this->issuer(server);
        if (issuer == m_identity) {
            take_request(m_identity, server, count, now);
            tell_demand(m_identity, server, now);
            continue;
        }
        auto& message = m_collected[issuer];
        // An issuer that has just become one does not know the limit.
        message.limits.push_back(statement(server, *m_permits.find(server), now));
        message.requests.push_back({ .count = count, .server = server });
    }
}

void LimitCoordinator::take_request(std::string const& entry, std::string const& server, int64_t count, Core::Time now)
{
    auto const limit = m_permits.limit(server);
    if (!limit || !is_issuer(server, now))
        return;
    m_issuers.try_emplace(server, *limit * reachable_share(), now).first->second.request(entry, count, now);
}

double LimitCoordinator::reachable_share() const
{
    auto const reachable = static_cast<double>(m_linked.size() + 1);
    return reachable / (reachable + static_cast<double>(m_unreachable.size()));
}

void LimitCoordinator::issue_permits(Core::Time now)
{
    std::erase_if(m_issuers, [&](auto const& entry) { return !m_permits.limit(entry.first) || !is_issuer(entry.first, now); });
    for (auto& [server, issuer] : m_issuers) {
        issuer.set_limit(*m_permits.limit(server) * reachable_share(), now);
        for (auto const& [entry, count] : issuer.issue(now)) {
            if (entry == m_identity)
                m_permits.add_permits(server, count, now);
            else
                m_collected[entry].permits.push_back({ .count = count, .server = server });
        }
    }
}

void LimitCoordinator::tick(Core::Time now)
{
    begin_issuing(now);
    remove_lost(now);
    m_permits.remove_old(now);
    publish_due(now);
    request_permits(now);
    issue_permits(now);
    send_collected();
}

void LimitCoordinator::send_collected()
{
    for (auto const& [entry, message] : std::exchange(m_collected, {})) {
        if (m_linked.contains(entry))
            m_send(entry, message);
    }
}

}
