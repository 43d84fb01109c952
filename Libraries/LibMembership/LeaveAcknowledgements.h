// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <set>
#include <string>
#include <vector>

namespace Membership {

/// Tracks which peers have received the notice that this process is leaving.
///
/// A link delivers messages in order: everything that a peer sent before it received the notice arrives before its reply to a ping that
/// was sent after the notice. Only when that reply arrives has this process received all requests from the peer.
class LeaveAcknowledgements {
public:
    /// Starts tracking after the notice was sent to all of these peers.
    void begin(std::vector<std::string> const& peers, Core::Time sent_at);

    /// Handles a peer's reply to a ping that was sent at `pinged_at`, by the clock of this process.
    void on_pong(std::string const& peer, Core::Time pinged_at);

    /// Stops waiting for a peer whose link ended, as nothing more can arrive over it.
    void on_peer_link_ended(std::string const& peer) { m_unacknowledged.erase(peer); }

    /// Returns true if every peer has received the notice or lost its link.
    bool is_acknowledged_by_all() const { return m_unacknowledged.empty(); }
    /// Number of peers that have not confirmed yet that they received the notice.
    size_t unacknowledged_peers() const { return m_unacknowledged.size(); }

private:
    Core::Time m_sent_at { 0 };
    std::set<std::string> m_unacknowledged;
};

}
