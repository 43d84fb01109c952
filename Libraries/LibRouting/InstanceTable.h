// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Routing {

/// What a request asks of the instance that serves it.
struct RouteNeeds {
    std::string service;
    /// Model that must be served; nothing for a plain service.
    std::optional<std::string> model;
    std::optional<std::string> version;
    /// Hash of the prompt's leading part, where a cached prefix helps; empty otherwise.
    std::string prefix;
    /// Instances that were tried already.
    std::set<std::string> excluded;
    /// The only instance that will do, for a key that has a home.
    std::optional<std::string> home;
};

/// How a request ended at an instance, as far as it says something about the instance.
enum class InstanceOutcome {
    Success,
    /// It failed: the link broke, the backend server broke off or answered with a server error.
    Failure,
    /// Says nothing: refused as busy, or cancelled.
    Neutral,
};

struct InstanceTableSettings {
    Schema::Choice choice { Schema::Choice::Prefix };
    /// An instance may have this many times the mean load before its warm prefix counts for less.
    double load_bound { 1.25 };
    size_t failures_to_eject { 3 };
    Core::Duration first_ejection { 1000 };
    Core::Duration longest_ejection { 30000 };
};

/// What an entry knows of the instances behind its services, and its choice among them.
///
/// The list says who may exist, the link says who answers now, and the agent's own word goes first.
/// Reported load lags and cache events have gaps: both are hints only.
class InstanceTable {
public:
    InstanceTable(InstanceTableSettings, uint64_t seed);

    void set_listed(std::string const& id, std::string const& service, bool is_leaving);
    void remove(std::string const& id);
    void on_link_up(std::string const& id);
    void on_link_down(std::string const& id);
    void on_report(std::string const& id, Schema::Report const&);

    /// The instance to send a request to. InstanceBusy means that all that could serve it are full.
    tl::expected<std::string, Schema::Reason> choose(RouteNeeds const&, Core::Time now);

    void on_started(std::string const& id);
    void on_finished(std::string const& id, InstanceOutcome, Core::Time now);
    /// It refused as busy or not ready: it is left alone until it reports again.
    void on_refused(std::string const& id, Schema::Reason);

    bool is_usable(std::string const& id) const;
    bool has_service(std::string const& service) const;
    /// Version of the model that an instance reported to serve.
    std::optional<Schema::Weights> serving(std::string const& id) const;
    /// Instances that report to serve these weights' version, sorted.
    std::vector<std::string> ready_with(std::string const& model, std::string const& version) const;
    size_t own_in_flight(std::string const& id) const;

private:
    struct State {
        std::string service;
        bool is_leaving { false };
        bool is_linked { false };
        bool has_reported { false };
        bool is_held_back { false };
        Schema::Report report {};
        std::set<std::string> warm;
        size_t own_in_flight { 0 };
        // Own requests among those that the last report counted.
        size_t own_at_report { 0 };
        size_t failures { 0 };
        size_t ejections { 0 };
        Core::Time ejected_until { 0 };
    };

    size_t load(State const&) const;
    double pressure(State const&) const;
    bool can_take(State const&, RouteNeeds const&) const;
    std::vector<std::string> candidates(RouteNeeds const&, Core::Time now, bool& saw_busy) const;
    std::string least_of_two(std::vector<std::string> const&);
    std::string by_prefix(std::vector<std::string> const&, std::string const& prefix);

    InstanceTableSettings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, State> m_instances;
};

}
