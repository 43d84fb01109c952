// SPDX-License-Identifier: BSD-2-Clause
#include "VersionGoals.h"

#include <LibCore/Log.h>
#include <LibTransport/SocketAddress.h>
#include <algorithm>
#include <utility>

namespace DirectEntry {

// A version is required this long before its time limit, as requests sent just before still have to begin.
static constexpr Core::Duration version_start_margin { 1500 };
// A version that no entry is known to have known before may be as old as the last read that did not bring it. Engines still get this
// long to load it: about as long as the platform counts an instance as out of contact.
static constexpr Core::Duration found_grace { 2500 };

std::vector<Schema::WeightsGoal> VersionGoals::goals(Core::Duration version_time_limit, Core::Time now) const
{
    std::vector<Schema::WeightsGoal> goals;
    auto const& configuration = m_facts.configuration();
    if (!configuration)
        return goals;
    for (auto const& service : configuration->services) {
        if (service.timing)
            goals.push_back(goal(service, version_time_limit, now));
    }
    return goals;
}

Schema::WeightsGoal VersionGoals::goal(Schema::RoutedService const& service, Core::Duration version_time_limit, Core::Time now) const
{
    Schema::WeightsGoal goal {};
    goal.service = service.name;
    goal.model = service.timing->model;
    goal.version = 1;
    auto const found = m_facts.versions().find(goal.model);
    if (found != m_facts.versions().end())
        goal.version = found->second.newest();
    if (found != m_facts.versions().end() && !found->second.versions.empty()) {
        auto const& newest = found->second.versions.back();
        goal.age_ms = (now - newest.presumed_named_at()).count();
    }
    goal.origin_address = origin_address();
    goal.bound_ms = version_time_limit.count();
    goal.may_evict = may_evict(service.name);
    goal.layers = service.timing->layers.value_or(0);
    goal.chunks = service.timing->chunks.value_or(0);
    goal.peers = peers(service.name);
    return goal;
}

std::string VersionGoals::origin_address() const
{
    std::string origin;
    for (auto const& service : m_facts.configuration()->services)
        origin = service.origin_address.value_or(origin);
    return origin;
}

/// Streams may be cut only if every route to the service allows them to resume at another server.
bool VersionGoals::may_evict(std::string const& service) const
{
    auto const& routes = m_facts.configuration()->routes;
    return std::all_of(routes.begin(), routes.end(), [&](auto const& route) {
        bool const leads_here = std::any_of(route.targets.begin(), route.targets.end(), [&](auto const& target) { return target.service == service; });
        return !leads_here || route.is_resumable;
    });
}

std::vector<Schema::GoalPeer> VersionGoals::peers(std::string const& service) const
{
    std::vector<Schema::GoalPeer> peers;
    for (auto const* server : m_facts.servers()) {
        if (server->service == service)
            peers.push_back({ .failure_domain = server->failure_domain, .identity = Transport::split_address(server->address).first });
    }
    return peers;
}

std::optional<std::string> VersionGoals::model_of(std::string const& service) const
{
    auto const& configuration = m_facts.configuration();
    if (!configuration)
        return {};
    auto const& services = configuration->services;
    auto const routed = std::find_if(services.begin(), services.end(), [&](auto const& candidate) { return candidate.name == service; });
    if (routed == services.end() || !routed->timing)
        return {};
    return routed->timing->model;
}

Configuration::NamedVersions const* VersionGoals::named_versions(std::string const& service) const
{
    auto const model = model_of(service);
    if (!model)
        return nullptr;
    auto const found = m_facts.versions().find(*model);
    return found == m_facts.versions().end() ? nullptr : &found->second;
}

int64_t VersionGoals::newest(std::string const& service) const
{
    auto const* versions = named_versions(service);
    return versions ? versions->newest() : 0;
}

std::optional<int64_t> VersionGoals::required(std::string const& service, Core::Duration version_time_limit, Core::Time now) const
{
    auto const* versions = named_versions(service);
    if (!versions)
        return {};
    // Until the stored versions have been read, a version that was found gets no grace time, as its time limit may have passed long ago.
    auto const found_by = m_has_read_stored_versions() ? now - found_grace : now;
    auto const required = versions->newest_of(now - (version_time_limit - version_start_margin), found_by);
    if (required == 0)
        return {};
    return required;
}

void VersionGoals::log_required_changes(Core::Duration version_time_limit, Core::Time now)
{
    auto const& configuration = m_facts.configuration();
    if (!configuration)
        return;
    for (auto const& service : configuration->services) {
        if (!service.timing)
            continue;
        auto const version = required(service.name, version_time_limit, now).value_or(0);
        if (std::exchange(m_logged_required[service.name], version) == version)
            continue;
        auto const* versions = named_versions(service.name);
        auto const* known = versions ? versions->find(version) : nullptr;
        Core::log_event(Core::LogLevel::Info, "version_required", { { "service", service.name }, { "model", service.timing->model }, { "version", std::to_string(version) }, { "named_at_most_ms_ago", known && known->named ? std::to_string((now - *known->named).count()) : "unknown" }, { "found_ms_ago", known ? std::to_string((now - known->found).count()) : "" } });
    }
}

}
