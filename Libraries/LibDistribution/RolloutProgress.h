// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/ReplayedState.h>
#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Distribution {

/// The progress of every rollout, as an entry computes it from the reports of its agents.
class RolloutProgress {
public:
    /// Applies a new state of the configuration. A rollout's revision that appears for the first time starts its time measurements at
    /// `now`, and rollouts that were removed are dropped.
    void on_configuration(Configuration::ReplayedState const&, Core::Time now);

    /// Applies an agent's report. `incarnation` identifies the start of the agent: the byte counters in its reports begin anew with each.
    void on_report(std::string const& instance, int64_t incarnation, Schema::Report const&, Core::Time now);
    /// Removes an instance that no longer answers. The bytes that it has read stay in the totals.
    void on_instance_lost(std::string const& instance);

    /// Returns the ids of the instances that serve the current revision of a rollout, sorted. Empty if there is no such rollout.
    std::vector<std::string> ready(std::string const& rollout) const;

    /// Returns the status of a rollout, or std::nullopt if there is no such rollout.
    std::optional<Schema::RolloutStatus> status(std::string const& rollout) const;

    /// Increases whenever the status of any rollout may have changed.
    uint64_t generation() const { return m_generation; }

private:
    struct Bytes {
        int64_t origin { 0 };
        int64_t peer { 0 };
    };

    struct Rollout {
        int64_t revision { 0 };
        int64_t wanted { 0 };
        int64_t version_bytes { 0 };
        Core::Time accepted_at { 0 };
        // Time from acceptance until a quarter, half and all of the wanted instances were ready.
        std::optional<Core::Duration> to_quarter;
        std::optional<Core::Duration> to_half;
        std::optional<Core::Duration> to_all;
        std::map<std::string, Schema::Progress> progress;
        // Keyed by instance and incarnation, so that the bytes read stay counted after an instance has terminated or restarted.
        std::map<std::pair<std::string, int64_t>, Bytes> bytes;
    };

    void record_ready_times(Rollout&, Core::Time now);

    std::map<std::string, Rollout> m_rollouts;
    uint64_t m_generation { 0 };
};

}
