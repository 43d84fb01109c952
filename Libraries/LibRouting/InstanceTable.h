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

/// Criteria by which InstanceTable::choose() selects the instance for a request.
struct InstanceRequirements {
    std::string service;
    /// Model that the instance must serve; std::nullopt for a service without a model.
    std::optional<std::string> model;
    /// Version of the model that the instance must serve; std::nullopt if any will do.
    std::optional<std::string> version;
    /// Hash of the start of the prompt, if an instance with this prefix in its cache answers faster; empty otherwise.
    std::string prefix;
    /// Instances that must not be chosen, as earlier attempts of the request went to them.
    std::set<std::string> excluded;
    /// The only instance that may be chosen, if the request's key is bound to one.
    std::optional<std::string> required_instance;
};

/// Outcome of a request at an instance, as far as it says something about the instance.
enum class InstanceOutcome {
    Success,
    /// The link broke, or the backend server aborted its answer or answered with a server error.
    Failure,
    /// The instance refused the request as busy, or the request was cancelled: says nothing about the instance's health.
    Neutral,
};

struct InstanceTableSettings {
    Schema::Choice choice { Schema::Choice::Prefix };
    /// Limit of an instance's load, as a multiple of the mean load of all candidates. Above it, an instance is not preferred for a
    /// cached prefix any more.
    double max_load_ratio { 1.25 };
    /// Number of failures in a row after which an instance is ejected: requests avoid it for a while.
    size_t failures_to_eject { 3 };
    /// Duration of the first ejection. Each further one lasts twice as long, up to the longest, until a request succeeds.
    Core::Duration first_ejection { 1000 };
    Core::Duration longest_ejection { 30000 };
};

/// Keeps the state of the instances behind an entry's services, and chooses the instance for each request.
///
/// State comes from three sources: the list of instances says which may exist, the link to an instance's agent says whether it is
/// reachable now, and the agent's reports say whether it drains, what it serves and how loaded it is. An instance is only used while
/// its link is up and its agent has reported over it. Reported load is delayed and reports of cached prefixes can be incomplete: both
/// only influence the preference among instances.
class InstanceTable {
public:
    InstanceTable(InstanceTableSettings, uint64_t seed);

    /// Adds an instance, or updates its list record and keeps everything else that is known of it.
    void set_listed(std::string const& id, std::string const& service, bool is_leaving);
    void remove(std::string const& id);
    /// After a link comes up, the instance is not used until its agent reports.
    void on_link_up(std::string const& id);
    void on_link_down(std::string const& id);
    void on_report(std::string const& id, Schema::Report const&);

    /// Returns the id of the instance to send a request to. The error is InstanceBusy if instances that could serve it are there but
    /// are full or have just refused a request, and NoInstance if there are none.
    tl::expected<std::string, Schema::Reason> choose(InstanceRequirements const&, Core::Time now);

    /// This entry sent a request to the instance.
    void on_started(std::string const& id);
    /// A request that this entry sent to the instance ended.
    void on_finished(std::string const& id, InstanceOutcome, Core::Time now);
    /// The instance refused a request. With InstanceBusy or VersionNotReady it gets no requests until its next report or until one of
    /// this entry's requests ends there with Success or Failure; with Draining, until a report says that it doesn't drain. Other reasons
    /// are ignored.
    void on_refused(std::string const& id, Schema::Reason);

    /// Whether the instance is linked, has reported and is neither leaving nor draining.
    bool is_usable(std::string const& id) const;
    /// Whether any instance of the service is listed.
    bool has_service(std::string const& service) const;
    /// Model and version that the instance reported to serve; std::nullopt if none, or if it hasn't reported over its present link.
    std::optional<Schema::Weights> serving(std::string const& id) const;
    /// Ids of the instances whose last report says that they serve this version of the model, sorted.
    std::vector<std::string> instances_serving(std::string const& model, std::string const& version) const;
    /// Number of requests that this entry has in flight at the instance.
    size_t own_in_flight(std::string const& id) const;

private:
    struct State {
        std::string service;
        bool is_leaving { false };
        bool is_linked { false };
        bool has_reported { false };
        bool is_refusing { false };
        Schema::Report report {};
        std::set<std::string> warm;
        size_t own_in_flight { 0 };
        // How many of the requests counted by the last report are this entry's.
        size_t own_in_flight_at_report { 0 };
        size_t failures { 0 };
        size_t ejections { 0 };
        Core::Time ejected_until { 0 };
    };

    /// Number of requests of all entries in flight at the instance.
    size_t load(State const&) const;
    /// Load as a fraction of the capacity, plus a small part for the load that the backend server reports. The lower, the better.
    double relative_load(State const&) const;
    /// Whether the instance is usable and serves the required model and version.
    bool can_serve(State const&, InstanceRequirements const&) const;
    /// @param saw_busy set to true if an instance that could serve the request is full or refuses requests at present.
    std::vector<std::string> candidates(InstanceRequirements const&, Core::Time now, bool& saw_busy) const;
    /// Returns the less loaded of two instances picked at random.
    std::string less_loaded_of_two(std::vector<std::string> const&);
    /// Prefers an instance that has cached the prefix, then the first of the prefix's rendezvous order, as long as its load is below the
    /// limit.
    std::string choose_by_prefix(std::vector<std::string> const&, std::string const& prefix);

    InstanceTableSettings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, State> m_instances;
};

}
