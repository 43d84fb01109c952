// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CrashWatch.h"
#include <LibRouting/RequestDigest.h>
#include <LibRouting/ServerTable.h>
#include <functional>
#include <optional>
#include <string>

namespace DirectEntry {

/// What a request in hand has to do with servers that ended. Its digest is taken once it is needed: where nothing is suspected and
/// no server ends, never.
class SuspectedRequest {
public:
    SuspectedRequest(CrashWatch&, std::function<Routing::RequestContent()> content);

    std::string const& digest();
    bool is(std::string const& digest) { return this->digest() == digest; }
    Routing::CrashStanding standing();
    /// Whether a copy may go out from this entry now.
    bool can_send();
    /// Tells apart where the request may go: with others like it, or by itself.
    void add_to(Routing::ServerNeeds&);

    void on_sent(std::string const& server);
    void on_attempt_over();
    /// The server to which it was sent last ended while it ran the request.
    void on_ended_under(std::string const& incarnation);
    void on_ran_to_end();

private:
    bool has_suspects() const { return !m_watch.suspects().is_empty(); }

    CrashWatch& m_watch;
    std::function<Routing::RequestContent()> m_content;
    std::optional<std::string> m_digest;
    Routing::CrashRestriction m_sent { Routing::CrashRestriction::Free };
};

}
