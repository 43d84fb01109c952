// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace DirectEntry {

/// What engines are to hold, by the configuration and the named versions, and from when on requests insist on it.
class VersionGoals {
public:
    /// `knows_past`: whether all that was remembered of versions before this process is known.
    VersionGoals(Configuration::FactReplica const& facts, std::function<bool()> knows_past)
        : m_facts(facts)
        , m_knows_past(std::move(knows_past))
    {
    }

    /// The goal of each service whose engines serve a model, with the age of its version's name.
    std::vector<Schema::WeightsGoal> goals(Core::Duration version_bound, Core::Time now) const;

    /// True if the version of a model's goal was named, and is not just the one of the start.
    bool is_named(std::string const& model) const { return m_facts.versions().contains(model); }

    /// The model that a service's engines serve; nothing for a plain service.
    std::optional<std::string> model_of(std::string const& service) const;

    /// The newest version that is named of a service's model; 0 if none is.
    int64_t newest(std::string const& service) const;

    /// The version that an engine of the service must serve by now, if any.
    std::optional<int64_t> required(std::string const& service, Core::Duration version_bound, Core::Time now) const;

    /// Logs for each service from when on it requires which version, and by which date.
    void log_required(Core::Duration version_bound, Core::Time now);

private:
    Schema::WeightsGoal goal(Schema::RoutedService const&, Core::Duration version_bound, Core::Time now) const;
    std::string origin_address() const;
    bool may_evict(std::string const& service) const;
    std::vector<Schema::GoalPeer> peers(std::string const& service) const;
    Configuration::NamedVersions const* named(std::string const& service) const;

    Configuration::FactReplica const& m_facts;
    std::function<bool()> m_knows_past;
    // What was logged last of each service.
    std::map<std::string, int64_t> m_logged_required;
};

}
