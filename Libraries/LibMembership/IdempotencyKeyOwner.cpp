// SPDX-License-Identifier: BSD-2-Clause
#include <LibMembership/IdempotencyKeyOwner.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <array>
#include <cstdio>

namespace Membership {

static constexpr size_t uuid_characters = 36;
static constexpr size_t version_position = 14;
static constexpr size_t variant_position = 19;

static std::optional<int> hexadecimal_digit(char character)
{
    if (character >= '0' && character <= '9')
        return character - '0';
    if (character >= 'a' && character <= 'f')
        return character - 'a' + 10;
    if (character >= 'A' && character <= 'F')
        return character - 'A' + 10;
    return {};
}

static bool is_dash_position(size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<Core::WallTime> uuid_creation_time(std::string const& uuid)
{
    if (uuid.size() != uuid_characters)
        return {};
    int64_t milliseconds = 0;
    for (size_t i = 0; i < uuid.size(); ++i) {
        if (is_dash_position(i)) {
            if (uuid[i] != '-')
                return {};
            continue;
        }
        auto digit = hexadecimal_digit(uuid[i]);
        if (!digit)
            return {};
        // The first 48 bits, which are the digits before the second dash, hold the time.
        if (i < 13)
            milliseconds = milliseconds * 16 + *digit;
    }
    bool const is_variant = std::string_view("89abAB").find(uuid[variant_position]) != std::string_view::npos;
    if (uuid[version_position] != '7' || !is_variant)
        return {};
    return Core::WallTime(milliseconds);
}

std::string make_uuid_v7(Core::WallTime time, std::mt19937_64& random)
{
    static constexpr uint64_t time_mask = 0xffffffffffff;
    static constexpr uint64_t variant_bits = 0x8000000000000000;
    uint64_t const low = (random() >> 2) | variant_bits;
    auto const milliseconds = static_cast<uint64_t>(time.count()) & time_mask;
    std::array<char, uuid_characters + 1> text {};
    std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx", static_cast<unsigned>(milliseconds >> 16), static_cast<unsigned>(milliseconds & 0xffff), static_cast<unsigned>(random() & 0xfff), static_cast<unsigned>(low >> 48), static_cast<unsigned long long>(low & time_mask));
    return text.data();
}

std::string owner_of_key(std::string const& key, std::vector<std::string> const& agents)
{
    std::string const* best = nullptr;
    uint64_t best_score = 0;
    for (auto const& agent : agents) {
        auto const score = Core::stable_hash(key, agent);
        if (!best || score > best_score || (score == best_score && agent > *best)) {
            best = &agent;
            best_score = score;
        }
    }
    return best ? *best : std::string();
}

IdempotencyKeyOwner::IdempotencyKeyOwner(std::string self, std::string service, IdempotencyKeyOwnerSettings settings, Core::WallTime started_at)
    : m_self(std::move(self))
    , m_service(std::move(service))
    , m_settings(settings)
    , m_started_at(started_at)
{
}

void IdempotencyKeyOwner::on_list(InstanceList const& list, Core::WallTime wall_now)
{
    if (list.version() <= m_list_version)
        return;
    // A skipped list may have assigned the keys to another owner for a while.
    bool const follows = list.version() == m_list_version + 1;
    m_list_version = list.version();
    // The lease covered the older list only.
    m_lease_from.reset();
    auto agents = list.live_agents(m_service);
    if (follows && !m_periods.empty() && m_periods.back().agents == agents)
        return;
    m_periods.push_back({ wall_now, std::move(agents), follows });
    // Drops the periods that ended before the oldest key that is still accepted was made.
    while (m_periods.size() > 1 && m_periods[1].since + m_settings.key_lifetime < wall_now)
        m_periods.pop_front();
}

void IdempotencyKeyOwner::on_pong(Core::Time sent_at, int64_t list_version, bool is_confirmed, std::optional<Core::WallTime> agents_unchanged_since)
{
    if (list_version != m_list_version || m_periods.empty())
        return;
    if (agents_unchanged_since)
        m_periods.back().since = std::min(m_periods.back().since, *agents_unchanged_since);
    if (!is_confirmed)
        return;
    if (!m_lease_from || sent_at > *m_lease_from)
        m_lease_from = sent_at;
}

bool IdempotencyKeyOwner::has_lease(Core::Time now) const
{
    return m_lease_from && now < *m_lease_from + m_settings.lease;
}

Core::WallTime IdempotencyKeyOwner::owned_since(std::string const& key) const
{
    auto since = m_periods.back().since;
    for (auto period = m_periods.rbegin(); period != m_periods.rend(); ++period) {
        if (owner_of_key(key, period->agents) != m_self)
            break;
        since = period->since;
        if (!period->follows_previous)
            break;
    }
    return since;
}

std::optional<Schema::Reason> IdempotencyKeyOwner::refusal(std::string const& key, Core::Time now, Core::WallTime wall_now) const
{
    auto const created = uuid_creation_time(key);
    if (!created)
        return Schema::Reason::KeyMalformed;
    if (*created > wall_now + m_settings.max_clock_difference)
        return Schema::Reason::KeyFromFuture;
    if (!has_lease(now))
        return Schema::Reason::LeaseLapsed;
    if (m_periods.empty() || owner_of_key(key, m_periods.back().agents) != m_self)
        return Schema::Reason::NotHome;
    if (*created + m_settings.key_lifetime < wall_now)
        return Schema::Reason::KeyTooOld;
    auto const others_stopped = owned_since(key) + 2 * m_settings.lease + m_settings.max_list_lag;
    // Requests that ran before this process started are unknown here: their outcomes were lost with the earlier process.
    if (*created <= std::max(others_stopped, m_started_at) + m_settings.max_clock_difference)
        return Schema::Reason::KeyBeforeHome;
    return {};
}

void AgentSetHistory::on_list(InstanceList const& list, Core::WallTime wall_now)
{
    bool const follows = list.version() == m_version + 1;
    m_version = list.version();
    std::map<std::string, ServiceAgents> services;
    for (auto const& service : list.services()) {
        ServiceAgents seen { list.live_agents(service), wall_now };
        auto const before = m_services.find(service);
        if (follows && before != m_services.end() && before->second.agents == seen.agents)
            seen.since = before->second.since;
        services[service] = std::move(seen);
    }
    m_services = std::move(services);
}

std::optional<Core::WallTime> AgentSetHistory::since(std::string const& service) const
{
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return {};
    return found->second.since;
}

}
