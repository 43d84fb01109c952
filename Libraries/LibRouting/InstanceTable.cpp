// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/InstanceTable.h>

#include <LibCore/Hash.h>
#include <algorithm>

namespace Routing {

InstanceTable::InstanceTable(InstanceTableSettings settings, uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

void InstanceTable::set_listed(std::string const& id, std::string const& service, bool is_leaving)
{
    auto& state = m_instances[id];
    state.service = service;
    state.is_leaving = is_leaving;
}

void InstanceTable::remove(std::string const& id)
{
    m_instances.erase(id);
}

void InstanceTable::on_link_up(std::string const& id)
{
    auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    found->second.is_linked = true;
    found->second.has_reported = false;
    found->second.is_refusing = false;
}

void InstanceTable::on_link_down(std::string const& id)
{
    auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    found->second.is_linked = false;
    found->second.has_reported = false;
    found->second.warm.clear();
}

void InstanceTable::on_report(std::string const& id, Schema::Report const& report)
{
    auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    auto& state = found->second;
    state.report = report;
    state.has_reported = true;
    state.is_refusing = false;
    state.own_in_flight_at_report = state.own_in_flight;
    if (report.warm_prefixes)
        state.warm = std::set<std::string>(report.warm_prefixes->begin(), report.warm_prefixes->end());
}

size_t InstanceTable::load(State const& state) const
{
    // Requests of other entries as of the last report, and requests of this entry as of now.
    auto const reported = static_cast<size_t>(std::max<int64_t>(0, state.report.in_flight));
    auto const others = reported > state.own_in_flight_at_report ? reported - state.own_in_flight_at_report : 0;
    return others + state.own_in_flight;
}

double InstanceTable::relative_load(State const& state) const
{
    auto const capacity = std::max<double>(1, static_cast<double>(state.report.capacity));
    // The load that the backend server measures itself only breaks ties: it is too delayed to decide.
    return static_cast<double>(load(state)) / capacity + 0.1 * state.report.engine_load;
}

bool InstanceTable::can_serve(State const& state, InstanceRequirements const& requirements) const
{
    if (!state.is_linked || !state.has_reported || state.is_leaving || state.report.draining)
        return false;
    if (!requirements.model)
        return true;
    auto const& serving = state.report.serving;
    if (!serving || serving->model != *requirements.model)
        return false;
    return !requirements.version || serving->version == *requirements.version;
}

std::vector<std::string> InstanceTable::candidates(InstanceRequirements const& requirements, Core::Time now, bool& saw_busy) const
{
    std::vector<std::string> ids;
    std::vector<std::string> ejected;
    for (auto const& [id, state] : m_instances) {
        if (state.service != requirements.service || requirements.excluded.contains(id) || !can_serve(state, requirements))
            continue;
        if (requirements.required_instance && *requirements.required_instance != id)
            continue;
        // Only this entry's requests count here. The number of other entries' requests is as old as the last report: it influences
        // the choice, but must not leave free slots unused.
        bool const is_full = state.own_in_flight >= static_cast<size_t>(std::max<int64_t>(0, state.report.capacity));
        if (is_full || state.is_refusing) {
            saw_busy = true;
            continue;
        }
        if (now < state.ejected_until)
            ejected.push_back(id);
        else
            ids.push_back(id);
    }
    // If all candidates are ejected, one that may fail is better than none.
    if (ids.empty() && !saw_busy)
        return ejected;
    return ids;
}

std::string InstanceTable::less_loaded_of_two(std::vector<std::string> const& ids)
{
    auto const& first = ids[m_random() % ids.size()];
    auto const& second = ids[m_random() % ids.size()];
    return relative_load(m_instances.at(second)) < relative_load(m_instances.at(first)) ? second : first;
}

std::string InstanceTable::choose_by_prefix(std::vector<std::string> const& ids, std::string const& prefix)
{
    double total = 0;
    for (auto const& id : ids)
        total += static_cast<double>(load(m_instances.at(id)));
    double const bound = m_settings.max_load_ratio * (total + 1) / static_cast<double>(ids.size());
    auto fits = [&](std::string const& id) { return static_cast<double>(load(m_instances.at(id))) < bound; };

    std::string best_cached;
    for (auto const& id : ids) {
        auto const& state = m_instances.at(id);
        if (!state.warm.contains(prefix) || !fits(id))
            continue;
        if (best_cached.empty() || relative_load(state) < relative_load(m_instances.at(best_cached)))
            best_cached = id;
    }
    if (!best_cached.empty())
        return best_cached;
    // No candidate below the load limit is known to have cached the prefix. The rendezvous order sends later requests with the same
    // prefix to the same instance.
    for (auto const& id : Core::rendezvous_order(prefix, ids)) {
        if (fits(id))
            return id;
    }
    return less_loaded_of_two(ids);
}

tl::expected<std::string, Schema::Reason> InstanceTable::choose(InstanceRequirements const& requirements, Core::Time now)
{
    bool saw_busy = false;
    auto const ids = candidates(requirements, now, saw_busy);
    if (ids.empty())
        return tl::unexpected(saw_busy ? Schema::Reason::InstanceBusy : Schema::Reason::NoInstance);
    switch (m_settings.choice) {
    case Schema::Choice::Random:
        return ids[m_random() % ids.size()];
    case Schema::Choice::LeastLoaded:
        return less_loaded_of_two(ids);
    case Schema::Choice::Prefix:
        break;
    }
    return requirements.prefix.empty() ? less_loaded_of_two(ids) : choose_by_prefix(ids, requirements.prefix);
}

void InstanceTable::on_started(std::string const& id)
{
    auto found = m_instances.find(id);
    if (found != m_instances.end())
        found->second.own_in_flight += 1;
}

void InstanceTable::on_finished(std::string const& id, InstanceOutcome outcome, Core::Time now)
{
    auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    auto& state = found->second;
    if (state.own_in_flight > 0)
        state.own_in_flight -= 1;
    state.own_in_flight_at_report = std::min(state.own_in_flight_at_report, state.own_in_flight);
    // With any outcome but Neutral the request held a slot, which is free now.
    if (outcome != InstanceOutcome::Neutral)
        state.is_refusing = false;
    if (outcome == InstanceOutcome::Success) {
        state.failures = 0;
        state.ejections = 0;
        return;
    }
    if (outcome == InstanceOutcome::Neutral)
        return;
    state.failures += 1;
    if (state.failures < m_settings.failures_to_eject)
        return;
    auto const doublings = std::min<size_t>(state.ejections++, 16);
    state.ejected_until = now + std::min(m_settings.longest_ejection, m_settings.first_ejection * (int64_t { 1 } << doublings));
    // After the ejection ends, a single further failure ejects the instance again.
    state.failures = m_settings.failures_to_eject - 1;
}

void InstanceTable::on_refused(std::string const& id, Schema::Reason reason)
{
    auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    if (reason == Schema::Reason::Draining)
        found->second.report.draining = true;
    bool const is_temporary = reason == Schema::Reason::InstanceBusy || reason == Schema::Reason::VersionNotReady;
    if (is_temporary)
        found->second.is_refusing = true;
}

bool InstanceTable::is_usable(std::string const& id) const
{
    auto found = m_instances.find(id);
    if (found == m_instances.end())
        return false;
    auto const& state = found->second;
    return state.is_linked && state.has_reported && !state.is_leaving && !state.report.draining;
}

bool InstanceTable::has_service(std::string const& service) const
{
    return std::any_of(m_instances.begin(), m_instances.end(), [&](auto const& entry) { return entry.second.service == service; });
}

std::optional<Schema::Weights> InstanceTable::serving(std::string const& id) const
{
    auto found = m_instances.find(id);
    if (found == m_instances.end() || !found->second.has_reported)
        return {};
    return found->second.report.serving;
}

std::vector<std::string> InstanceTable::instances_serving(std::string const& model, std::string const& version) const
{
    std::vector<std::string> ready;
    for (auto const& [id, state] : m_instances) {
        auto const& serving = state.report.serving;
        if (state.has_reported && serving && serving->model == model && serving->version == version)
            ready.push_back(id);
    }
    return ready;
}

size_t InstanceTable::own_in_flight(std::string const& id) const
{
    auto found = m_instances.find(id);
    return found == m_instances.end() ? 0 : found->second.own_in_flight;
}

}
