// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/RolloutProgress.h>

#include <LibSchema/Json.h>

namespace Distribution {

static int64_t bytes_of(Configuration::ReplayedState const& replayed_state, Schema::RolloutSpec const& spec)
{
    int64_t bytes = 0;
    if (auto version = Configuration::weights_of(replayed_state, spec)) {
        for (auto const& chunk : version->chunks)
            bytes += chunk.bytes;
    }
    return bytes;
}

void RolloutProgress::on_configuration(Configuration::ReplayedState const& replayed_state, Core::Time now)
{
    m_generation += 1;
    std::erase_if(m_rollouts, [&](auto const& entry) { return !replayed_state.rollouts().contains(entry.first); });
    for (auto const& [name, spec] : replayed_state.rollouts()) {
        auto& rollout = m_rollouts[name];
        rollout.version_bytes = bytes_of(replayed_state, spec);
        auto const revision = replayed_state.rollout_revision(name);
        if (rollout.revision == revision)
            continue;
        auto const version_bytes = rollout.version_bytes;
        rollout = Rollout();
        rollout.revision = revision;
        rollout.wanted = spec.replicas;
        rollout.version_bytes = version_bytes;
        rollout.accepted_at = now;
    }
}

void RolloutProgress::on_report(std::string const& instance, int64_t incarnation, Schema::Report const& report, Core::Time now)
{
    for (auto& [name, rollout] : m_rollouts) {
        bool const is_followed = report.progress && report.progress->rollout == name && report.progress->revision == rollout.revision;
        if (!is_followed) {
            if (rollout.progress.erase(instance) > 0)
                m_generation += 1;
            continue;
        }
        m_generation += 1;
        rollout.progress[instance] = *report.progress;
        rollout.bytes[{ instance, incarnation }] = { report.progress->origin_bytes, report.progress->peer_bytes };
        record_ready_times(rollout, now);
    }
}

void RolloutProgress::record_ready_times(Rollout& rollout, Core::Time now)
{
    int64_t ready = 0;
    for (auto const& [instance, progress] : rollout.progress)
        ready += progress.state == Schema::ProgressState::Ready ? 1 : 0;
    auto const elapsed = now - rollout.accepted_at;
    if (!rollout.to_quarter && ready * 4 >= rollout.wanted && ready > 0)
        rollout.to_quarter = elapsed;
    if (!rollout.to_half && ready * 2 >= rollout.wanted && ready > 0)
        rollout.to_half = elapsed;
    if (!rollout.to_all && ready >= rollout.wanted)
        rollout.to_all = elapsed;
}

void RolloutProgress::on_instance_lost(std::string const& instance)
{
    m_generation += 1;
    for (auto& [name, rollout] : m_rollouts)
        rollout.progress.erase(instance);
}

std::vector<std::string> RolloutProgress::ready(std::string const& name) const
{
    std::vector<std::string> ready;
    auto found = m_rollouts.find(name);
    if (found == m_rollouts.end())
        return ready;
    for (auto const& [instance, progress] : found->second.progress) {
        if (progress.state == Schema::ProgressState::Ready)
            ready.push_back(instance);
    }
    return ready;
}

std::optional<Schema::RolloutStatus> RolloutProgress::status(std::string const& name) const
{
    auto found = m_rollouts.find(name);
    if (found == m_rollouts.end())
        return {};
    auto const& rollout = found->second;
    Schema::RolloutStatus status {};
    status.rollout = name;
    status.revision = rollout.revision;
    status.wanted = rollout.wanted;
    for (auto const& [instance, progress] : rollout.progress) {
        status.transferring += progress.state == Schema::ProgressState::Transferring ? 1 : 0;
        status.loading += progress.state == Schema::ProgressState::Loading ? 1 : 0;
        status.ready += progress.state == Schema::ProgressState::Ready ? 1 : 0;
        status.failed += progress.state == Schema::ProgressState::Failed ? 1 : 0;
        status.chunks_held += progress.chunks_held;
        status.chunks_total += progress.chunks_total;
        if (progress.failure)
            status.failure = Schema::enumerator_name(*progress.failure);
    }
    for (auto const& [key, bytes] : rollout.bytes) {
        status.origin_bytes += bytes.origin;
        status.peer_bytes += bytes.peer;
    }
    if (rollout.version_bytes > 0)
        status.origin_copies = static_cast<double>(status.origin_bytes) / static_cast<double>(rollout.version_bytes);
    if (rollout.to_quarter)
        status.time_to_quarter_ms = rollout.to_quarter->count();
    if (rollout.to_half)
        status.time_to_half_ms = rollout.to_half->count();
    if (rollout.to_all)
        status.time_to_all_ms = rollout.to_all->count();
    return status;
}

}
