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

/// What an entry knows of every rollout's progress, from its agents' reports.
class RolloutTally {
public:
    /// The configuration moved on: the time of acceptance of new revisions is taken here.
    void on_configuration(Configuration::ReplayedState const&, Core::Time now);

    void on_report(std::string const& instance, int64_t incarnation, Schema::Report const&, Core::Time now);
    /// The instance no longer answers. The bytes that it read stay counted.
    void on_gone(std::string const& instance);

    /// Instances that serve this revision of a rollout, sorted.
    std::vector<std::string> ready(std::string const& rollout) const;

    std::optional<Schema::RolloutStatus> status(std::string const& rollout) const;

    /// Grows whenever some status may have changed.
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
        std::optional<Core::Duration> to_quarter;
        std::optional<Core::Duration> to_half;
        std::optional<Core::Duration> to_all;
        std::map<std::string, Schema::Progress> progress;
        // By instance and incarnation, so that neither a death nor a restart loses what was read.
        std::map<std::pair<std::string, int64_t>, Bytes> bytes;
    };

    void note_times(Rollout&, Core::Time now);

    std::map<std::string, Rollout> m_rollouts;
    uint64_t m_generation { 0 };
};

}
