// SPDX-License-Identifier: BSD-2-Clause
#include <LibMembership/LeaveAcknowledgements.h>

namespace Membership {

void LeaveAcknowledgements::begin(std::vector<std::string> const& peers, Core::Time sent_at)
{
    m_sent_at = sent_at;
    m_unacknowledged = { peers.begin(), peers.end() };
}

void LeaveAcknowledgements::on_pong(std::string const& peer, Core::Time pinged_at)
{
    // A ping of the same millisecond may have been sent before the notice.
    if (pinged_at > m_sent_at)
        m_unacknowledged.erase(peer);
}

}
