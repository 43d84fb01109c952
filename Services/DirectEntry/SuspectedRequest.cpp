// SPDX-License-Identifier: BSD-2-Clause
#include "SuspectedRequest.h"

#include <utility>

namespace DirectEntry {

using Routing::CrashRestriction;
using Routing::CrashStanding;

SuspectedRequest::SuspectedRequest(CrashWatch& watch, std::function<Routing::RequestContent()> content)
    : m_watch(watch)
    , m_content(std::move(content))
{
}

std::string const& SuspectedRequest::digest()
{
    if (!m_digest)
        m_digest = Routing::request_digest(m_content());
    return *m_digest;
}

CrashStanding SuspectedRequest::standing()
{
    return has_suspects() ? m_watch.suspects().standing(digest(), Core::monotonic_now()) : CrashStanding::Clear;
}

bool SuspectedRequest::can_send()
{
    return !has_suspects() || m_watch.suspects().can_send(digest(), Core::monotonic_now());
}

void SuspectedRequest::add_to(Routing::ServerNeeds& needs)
{
    if (!has_suspects())
        return;
    using RunFilter = Routing::CrashSuspects::RunFilter;
    auto const standing = this->standing();
    auto const among = standing == CrashStanding::RunsAlone ? RunFilter::AllRuns : RunFilter::AloneRuns;
    auto servers = m_watch.suspects().servers_with_suspects(among, Core::monotonic_now());
    (standing == CrashStanding::Clear ? needs.avoided : needs.closed) = std::move(servers);
    needs.wants_idle = standing == CrashStanding::RunsAlone;
}

void SuspectedRequest::on_sent(std::string const& server)
{
    m_sent = has_suspects() ? m_watch.on_sent(digest(), server) : CrashRestriction::Free;
}

void SuspectedRequest::on_attempt_over()
{
    auto const sent = std::exchange(m_sent, CrashRestriction::Free);
    if (sent != CrashRestriction::Free)
        m_watch.on_attempt_over(digest(), sent);
}

void SuspectedRequest::on_ended_under(std::string const& incarnation)
{
    m_watch.on_ended_under(incarnation, { digest(), m_sent == CrashRestriction::Alone });
}

void SuspectedRequest::on_ran_to_end()
{
    if (has_suspects())
        m_watch.on_ran_to_end(digest());
}

}
