// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RouteTable.h>

#include <algorithm>

namespace Routing {

// Key in m_routes of routes whose host could not be read, which apply to all hosts.
static std::string const any_host;

RouteTable::RouteTable(std::shared_ptr<Schema::RoutingConfiguration const> configuration)
    : m_configuration(std::move(configuration))
{
    for (auto const& route : m_configuration->routes)
        m_routes[route.host].push_back(&route);
    for (auto& [host, routes] : m_routes)
        std::stable_sort(routes.begin(), routes.end(), [](auto const* a, auto const* b) { return a->path_prefix.size() > b->path_prefix.size(); });
    for (auto const& customer : m_configuration->customers) {
        for (auto const& key : customer.keys)
            m_customers[key] = &customer;
    }
    for (auto const& service : m_configuration->services)
        m_services[service.name] = &service;
}

Schema::Route const* RouteTable::find(std::string_view host, std::string_view path) const
{
    auto const* found = longest_match(std::string(host), path);
    auto const* any_host_match = longest_match(any_host, path);
    bool const is_any_host_more_specific = any_host_match && (!found || any_host_match->path_prefix.size() >= found->path_prefix.size());
    return is_any_host_more_specific ? any_host_match : found;
}

Schema::Route const* RouteTable::longest_match(std::string const& host, std::string_view path) const
{
    auto const routes = m_routes.find(host);
    if (routes == m_routes.end())
        return nullptr;
    auto const* shortest = routes->second.back();
    // A route whose path could not be read may have been the longest match for any path.
    if (shortest->is_blocked && shortest->path_prefix.empty())
        return shortest;
    for (auto const* route : routes->second) {
        if (path.starts_with(route->path_prefix))
            return route;
    }
    return nullptr;
}

Schema::RoutedCustomer const* RouteTable::customer_of(std::string const& key) const
{
    auto const found = m_customers.find(key);
    return found == m_customers.end() ? nullptr : found->second;
}

tl::expected<RouteGrant, RouteDenial> RouteTable::admit(std::string_view host, std::string_view path, std::optional<std::string> const& key) const
{
    auto const* route = find(host, path);
    if (!route)
        return tl::unexpected(RouteDenial::NoRoute);
    auto const* customer = key ? customer_of(*key) : nullptr;
    bool const needs_key = m_configuration->has_customers && !route->is_public;
    bool const lacks_key = needs_key && !customer;
    if (lacks_key && (route->is_blocked || m_configuration->has_unreadable_customers))
        return tl::unexpected(RouteDenial::UnreadableCustomer);
    if (route->is_blocked)
        return tl::unexpected(RouteDenial::BlockedRoute);
    if (lacks_key)
        return tl::unexpected(RouteDenial::UnknownKey);
    return RouteGrant { *route, customer };
}

Schema::RoutedService const* RouteTable::service(std::string const& name) const
{
    auto const found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

std::string const& RouteTable::pick_service(Schema::Route const& route, double draw)
{
    static std::string const none;
    if (route.targets.empty())
        return none;
    double total = 0;
    for (auto const& target : route.targets)
        total += target.weight;
    double left = draw * total;
    for (auto const& target : route.targets) {
        if (left < target.weight)
            return target.service;
        left -= target.weight;
    }
    return route.targets.back().service;
}

}
