// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <set>
#include <string>
#include <vector>

namespace Membership {

/// Follows which peers have learned that this process leaves.
///
/// A link keeps its order: whatever a peer sent before it knew arrives ahead of its answer to a ping that followed the news. Only
/// then has all work that the peer handed over been seen here.
class LeaveNotice {
public:
    /// The news has gone out to all of these peers.
    void begin(std::vector<std::string> const& peers, Core::Time sent_at);

    /// A peer answered a ping that was sent at `pinged_at`.
    void on_pong(std::string const& peer, Core::Time pinged_at);

    /// The link of a peer ended, and nothing more can come over it.
    void on_gone(std::string const& peer) { m_unaware.erase(peer); }

    bool is_known_to_all() const { return m_unaware.empty(); }
    size_t unaware_peers() const { return m_unaware.size(); }

private:
    Core::Time m_sent_at { 0 };
    std::set<std::string> m_unaware;
};

}
