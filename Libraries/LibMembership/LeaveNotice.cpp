// SPDX-License-Identifier: BSD-2-Clause
#include <LibMembership/LeaveNotice.h>

namespace Membership {

void LeaveNotice::begin(std::vector<std::string> const& peers, Core::Time sent_at)
{
    m_sent_at = sent_at;
    m_unaware = { peers.begin(), peers.end() };
}

void LeaveNotice::on_pong(std::string const& peer, Core::Time pinged_at)
{
    // A ping of the same millisecond may have been sent before the notice.
    if (pinged_at > m_sent_at)
        m_unaware.erase(peer);
}

}
