// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace Routing {

/// The route and the customer by which a configuration admits a request.
struct RouteGrant {
    Schema::Route const& route;
    /// Null if the route needs no key and the request has none that a customer holds.
    Schema::RoutedCustomer const* customer { nullptr };

    /// The customer's priority, or the route's if the customer has none. A lower value is more urgent.
    int64_t priority() const { return customer ? customer->priority.value_or(route.priority) : route.priority; }
};

/// Why a configuration doesn't admit a request.
enum class RouteDenial {
    NoRoute,
    /// The route needs a key, and the request has none or one that no customer holds.
    UnknownKey,
    /// As UnknownKey, but a part of the configuration that may name the key could not be read.
    UnreadableCustomer,
    /// The route is blocked, as too little of its record could be read.
    BlockedRoute,
};

/// Index of one version of the configuration that finds the route of a request by host and longest path prefix, customers by key and
/// services by name. Returned pointers and references stay valid as long as the configuration, which the table shares.
class RouteTable {
public:
    explicit RouteTable(std::shared_ptr<Schema::RoutingConfiguration const>);

    int64_t version() const { return m_configuration->version; }
    Schema::RoutingConfiguration const& configuration() const { return *m_configuration; }

    /// Returns the route of the host with the longest prefix of the path, or null if there is none. A blocked route, whose record could
    /// not be read in full, covers everything that it may have been meant for: without a host, all hosts; without a path, all paths.
    Schema::Route const* find(std::string_view host, std::string_view path) const;

    /// Returns null if no customer holds the key.
    Schema::RoutedCustomer const* customer_of(std::string const& key) const;

    /// Finds the route of a request and checks the caller's key, if it sent one. A key is only required on a route that isn't public,
    /// and only if the configuration has customers.
    tl::expected<RouteGrant, RouteDenial> admit(std::string_view host, std::string_view path, std::optional<std::string> const& key) const;

    /// Returns null if the configuration has no such service.
    Schema::RoutedService const* service(std::string const& name) const;

    /// Picks the service for one request among the route's targets, by their weights. Returns an empty name if the route has no targets.
    /// @param draw random number, at least 0 and below 1.
    static std::string const& pick_service(Schema::Route const&, double draw);

private:
    Schema::Route const* longest_match(std::string const& host, std::string_view path) const;

    std::shared_ptr<Schema::RoutingConfiguration const> m_configuration;
    // Routes by host, sorted from the longest path prefix to the shortest.
    std::unordered_map<std::string, std::vector<Schema::Route const*>> m_routes;
    std::unordered_map<std::string, Schema::RoutedCustomer const*> m_customers;
    std::unordered_map<std::string, Schema::RoutedService const*> m_services;
};

}
