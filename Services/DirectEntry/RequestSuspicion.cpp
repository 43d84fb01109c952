// SPDX-License-Identifier: BSD-2-Clause
#include "RequestSuspicion.h"

#include <LibRouting/PromptParts.h>
#include <algorithm>
#include <utility>

namespace DirectEntry {

using Routing::CrashRestriction;
using Routing::CrashStanding;

RequestSuspicion::RequestSuspicion(CrashDetector& crashes, std::function<Routing::RequestContent()> content)
    : m_crashes(crashes)
    , m_content(std::move(content))
{
}

void RequestSuspicion::set_prompt_parts(std::vector<std::string> const& ids)
{
    for (auto const& id : ids)
        m_part_keys.push_back(Routing::prompt_part_key(id));
}

std::vector<std::string> const& RequestSuspicion::keys()
{
    if (m_keys.empty()) {
        m_keys.push_back(Routing::request_digest(m_content()));
        m_keys.insert(m_keys.end(), m_part_keys.begin(), m_part_keys.end());
    }
    return m_keys;
}

bool RequestSuspicion::has_key(std::string const& key)
{
    auto const& keys = this->keys();
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

CrashStanding RequestSuspicion::standing()
{
    return has_suspects() ? m_crashes.suspects().standing(keys(), Core::monotonic_now()) : CrashStanding::Clear;
}

bool RequestSuspicion::can_send()
{
    if (!has_suspects())
        return true;
    auto const now = Core::monotonic_now();
    return std::all_of(keys().begin(), keys().end(), [&](auto const& key) { return m_crashes.suspects().can_send(key, now); });
}

void RequestSuspicion::add_to(Routing::ServerRequirements& requirements)
{
    if (!has_suspects())
        return;
    using RunFilter = Routing::CrashSuspects::RunFilter;
    auto const standing = this->standing();
    auto const among = standing == CrashStanding::RunsAlone ? RunFilter::AllRuns : RunFilter::AloneRuns;
    auto servers = m_crashes.suspects().servers_with_suspects(among, Core::monotonic_now());
    (standing == CrashStanding::Clear ? requirements.avoided : requirements.temporarily_unavailable) = std::move(servers);
    requirements.prefers_idle_servers = standing == CrashStanding::RunsAlone;
}

void RequestSuspicion::on_sent(std::string const& server)
{
    m_runs.clear();
    if (!has_suspects())
        return;
    for (auto const& key : keys()) {
        auto const restriction = m_crashes.on_sent(key, server);
        if (restriction != CrashRestriction::Free)
            m_runs.push_back({ key, restriction });
    }
}

void RequestSuspicion::on_attempt_over()
{
    for (auto const& run : std::exchange(m_runs, {}))
        m_crashes.on_attempt_over(run.key, run.restriction);
}

void RequestSuspicion::on_terminated_while_running(std::string const& incarnation)
{
    std::vector<Routing::CrashSuspects::Run> runs;
    for (auto const& key : keys()) {
        bool const was_alone = std::any_of(m_runs.begin(), m_runs.end(), [&](auto const& run) { return run.key == key && run.restriction == CrashRestriction::Alone; });
        runs.push_back({ key, was_alone });
    }
    m_crashes.on_terminated_while_running(incarnation, runs);
}

void RequestSuspicion::on_run_completed()
{
    if (has_suspects())
        m_crashes.on_run_completed(keys());
}

void RequestSuspicion::on_failure_answered()
{
    if (has_suspects())
        m_crashes.on_run_completed({ digest() });
}

}
