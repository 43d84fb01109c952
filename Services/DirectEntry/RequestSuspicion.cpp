// SPDX-License-Identifier: BSD-2-Clause
#include "RequestSuspicion.h"

#include <utility>

namespace DirectEntry {

using Routing::CrashRestriction;
using Routing::CrashStanding;

RequestSuspicion::RequestSuspicion(CrashDetector& crashes, std::function<Routing::RequestContent()> content)
    : m_crashes(crashes)
    , m_content(std::move(content))
{
}

std::string const& RequestSuspicion::digest()
{
    if (!m_digest)
        m_digest = Routing::request_digest(m_content());
    return *m_digest;
}

CrashStanding RequestSuspicion::standing()
{
    return has_suspects() ? m_crashes.suspects().standing(digest(), Core::monotonic_now()) : CrashStanding::Clear;
}

bool RequestSuspicion::can_send()
{
    return !has_suspects() || m_crashes.suspects().can_send(digest(), Core::monotonic_now());
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
    m_sent = has_suspects() ? m_crashes.on_sent(digest(), server) : CrashRestriction::Free;
}

void RequestSuspicion::on_attempt_over()
{
    auto const sent = std::exchange(m_sent, CrashRestriction::Free);
    if (sent != CrashRestriction::Free)
        m_crashes.on_attempt_over(digest(), sent);
}

void RequestSuspicion::on_terminated_while_running(std::string const& incarnation)
{
    m_crashes.on_terminated_while_running(incarnation, { digest(), m_sent == CrashRestriction::Alone });
}

void RequestSuspicion::on_run_completed()
{
    if (has_suspects())
        m_crashes.on_run_completed(digest());
}

}
