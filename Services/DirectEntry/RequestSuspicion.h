// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "CrashDetector.h"
#include <LibRouting/RequestDigest.h>
#include <LibRouting/ServerTable.h>
#include <functional>
#include <string>
#include <vector>

namespace DirectEntry {

/// Applies the crash suspicions to one request in flight: whether it may be sent, where, and alone or not.
///
/// The digest that names the request is computed on first use only: never while there are no suspects and no server terminates.
class RequestSuspicion {
public:
    /// @param content returns the parts of the request that its digest covers.
    RequestSuspicion(CrashDetector&, std::function<Routing::RequestContent()> content);

    /// The request's digest, computed at the first call.
    std::string const& digest() { return keys().front(); }
    /// Sets the ids of the parts of the prompt that other requests may share. To be called before any other function.
    void set_prompt_parts(std::vector<std::string> const& ids);
    /// Whether the key is the request's digest or that of a part of its prompt.
    bool has_key(std::string const& key);
    /// Whether the request is clear, suspected, must run alone, or is blamed (refused, as servers kept terminating while they ran it).
    Routing::CrashStanding standing();
    /// Whether a copy of the request may be sent from this entry now. A suspect is sent one copy at a time.
    bool can_send();
    /// Adds the servers to avoid or exclude: a clear request avoids servers that run a suspect alone, a suspect is not sent to them,
    /// and one that must run alone is not sent to any server that runs a suspect, and prefers an idle one.
    void add_to(Routing::ServerRequirements&);

    /// The request is being sent to this server.
    void on_sent(std::string const& server);
    /// The current attempt has ended, whatever its outcome.
    void on_attempt_over();
    /// The server of the current attempt terminated while it ran the request.
    void on_terminated_while_running(std::string const& incarnation);
    /// The request ran to completion: neither it nor a part of its prompt is a suspect any more.
    void on_run_completed();
    /// The server answered with a failure: the request itself did not crash it. It need not have read the prompt.
    void on_failure_answered();

private:
    /// An attempt of a suspect, until it has ended.
    struct SuspectRun {
        std::string key;
        Routing::CrashRestriction restriction;
    };

    bool has_suspects() const { return !m_crashes.suspects().is_empty(); }
    /// The digest, then the keys of the prompt's parts.
    std::vector<std::string> const& keys();

    CrashDetector& m_crashes;
    std::function<Routing::RequestContent()> m_content;
    std::vector<std::string> m_part_keys;
    std::vector<std::string> m_keys;
    // The keys that were suspects when the current attempt was sent.
    std::vector<SuspectRun> m_runs;
};

}
