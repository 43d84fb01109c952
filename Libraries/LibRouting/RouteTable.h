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

/// What a configuration grants a request.
struct RouteGrant {
    Schema::Route const& route;
    /// Null on a route that needs no key, where none was given that is known.
    Schema::RoutedCustomer const* customer { nullptr };

    /// The customer's own priority goes before the route's.
    int64_t priority() const { return customer ? customer->priority.value_or(route.priority) : route.priority; }
};

/// Why a configuration grants a request nothing.
enum class RouteDenial {
    NoRoute,
    UnknownKey,
    /// The key is unknown, and so is something of the configuration that may name it.
    UnreadableCustomer,
    /// Too little of the route could be read.
    BlockedRoute,
};

/// A configuration, indexed for requests: routes by host and longest prefix, customers by key.
class RouteTable {
public:
    explicit RouteTable(std::shared_ptr<Schema::RoutingConfiguration const>);

    int64_t version() const { return m_configuration->version; }
    Schema::RoutingConfiguration const& configuration() const { return *m_configuration; }

    /// The route of the host whose prefix begins the path and is longest; null if there is none. One that is blocked, as
    /// too little of it could be read, covers whatever it might be meant for.
    Schema::Route const* find(std::string_view host, std::string_view path) const;

    /// Null if no customer holds the key.
    Schema::RoutedCustomer const* customer_of(std::string const& key) const;

    /// What the configuration grants a request; the key is that of the caller, if it gave one.
    tl::expected<RouteGrant, RouteDenial> admit(std::string_view host, std::string_view path, std::optional<std::string> const& key) const;

    /// Null if the configuration has no such service.
    Schema::RoutedService const* service(std::string const& name) const;

    /// The service for one request; `draw` (0 to 1, 1 excluded) picks among split targets by weight.
    static std::string const& pick_service(Schema::Route const&, double draw);

private:
    Schema::Route const* longest_match(std::string const& host, std::string_view path) const;

    std::shared_ptr<Schema::RoutingConfiguration const> m_configuration;
    // Routes of a host, the longest prefix first.
    std::unordered_map<std::string, std::vector<Schema::Route const*>> m_routes;
    std::unordered_map<std::string, Schema::RoutedCustomer const*> m_customers;
    std::unordered_map<std::string, Schema::RoutedService const*> m_services;
};

}
