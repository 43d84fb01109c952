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

/// Derives from the configuration and the named versions which version of its model's weights each service's engines are to hold, and
/// which version requests require by now.
///
/// A version is named by a record of the operator in the platform's log. For `version_time_limit` after that, engines may serve the
/// previous version; requests require the new one from 1.5 s before the end of this time.
class VersionGoals {
public:
    /// @param facts must outlive this object.
    /// @param has_read_stored_versions returns whether the versions that earlier processes stored have been read.
    VersionGoals(Configuration::FactReplica const& facts, std::function<bool()> has_read_stored_versions)
        : m_facts(facts)
        , m_has_read_stored_versions(std::move(has_read_stored_versions))
    {
    }

    /// Returns the goal of each service whose engines serve a model. Empty before a configuration has been read.
    ///
    /// The age in a goal is the time since its version was named, as far as that is known; the version is 1 if none was named.
    std::vector<Schema::WeightsGoal> goals(Core::Duration version_time_limit, Core::Time now) const;

    /// True if a version of the model was named; false if its goal is the initial version 1.
    bool is_named(std::string const& model) const { return m_facts.versions().contains(model); }

    /// The model that a service's engines serve; std::nullopt if the service is unknown or serves no model.
    std::optional<std::string> model_of(std::string const& service) const;

    /// The newest named version of a service's model; 0 if none is named.
    int64_t newest(std::string const& service) const;

    /// The version that an engine of the service must serve by now; std::nullopt while any version will do.
    ///
    /// A version that is not known to have been named before the time limit, but may have been, is required no sooner than 2.5 s after
    /// it was found here. Until the stored versions have been read it is required at once, as its limit may have passed long ago.
    std::optional<int64_t> required(std::string const& service, Core::Duration version_time_limit, Core::Time now) const;

    /// Logs each change of a service's required version, with the time since that version was named and found.
    void log_required_changes(Core::Duration version_time_limit, Core::Time now);

private:
    Schema::WeightsGoal goal(Schema::RoutedService const&, Core::Duration version_time_limit, Core::Time now) const;
    std::string origin_address() const;
    /// Whether engines of the service may cut streams in order to load a version: all its routes must be resumable.
    bool may_evict(std::string const& service) const;
    std::vector<Schema::GoalPeer> peers(std::string const& service) const;
    Configuration::NamedVersions const* named_versions(std::string const& service) const;

    Configuration::FactReplica const& m_facts;
    std::function<bool()> m_has_read_stored_versions;
    // The required version that was last logged, by service; 0 if none.
    std::map<std::string, int64_t> m_logged_required;
};

}
