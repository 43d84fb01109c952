// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/StoredBlames.h>
#include <LibRouting/CrashSuspects.h>
#include <LibSchema/Generated.h>
#include <LibTransport/BackendCall.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace DirectEntry {

/// Detects that a backend server terminated when its answers break off, records which requests ran there as suspected causes, and
/// shares these suspects with the other entries and with the platform's store.
///
/// A request, or a part of prompts, that is found to terminate the servers that run it is blamed: requests with it are refused from then
/// on. Routing::CrashSuspects decides what is suspected and blamed; this class does the input and output for it. Suspects are named by
/// the keys of a request: its digest (Routing::request_digest), so that a repetition by the caller is recognised, and the keys of the
/// parts of its prompt (Routing::prompt_part_key).
class CrashDetector {
public:
    struct Callbacks {
        /// Returns the identities of the other entries that this one has a link to.
        std::function<std::vector<std::string>()> entries;
        std::function<void(std::string const& entry, Schema::Message const&)> send;
        /// Called when a suspect is blamed for the first time since it was last cleared. Requests in flight with this key must be
        /// refused.
        std::function<void(std::string const& digest)> blamed;
    };

    /// @param records stores blamed requests across restarts; null if the platform offers no storage for this system's own records.
    CrashDetector(Core::EventLoop&, std::string const& identity, std::unique_ptr<Platform::BlameRecords> records, Core::Metrics&, Callbacks);

    /// Starts reading the blamed requests that earlier processes stored.
    void start() { m_blame_store.read(); }

    Routing::CrashSuspects const& suspects() const { return m_suspects; }

    /// Tries to connect to a server whose answer broke off, for at most 100 ms.
    /// @param callback receives true if the connection is refused, so that no process listens there any more, or if the server was
    /// found terminated within the last 500 ms; it may then be called before this function returns. It receives false if the
    /// connection succeeds, and also if it times out: the server may be running behind a network partition.
    void check_terminated(std::string const& server, std::string const& address, std::function<void(bool has_terminated)> callback);

    /// A server terminated while it ran a request with these keys, which become suspects or are blamed.
    /// @param incarnation the server's id and start time; see BackendAttempt::incarnation().
    void on_terminated_while_running(std::string const& incarnation, std::vector<Routing::CrashSuspects::Run> const&);
    /// A request with these keys ran to completion at some server: they are no suspects any more, here and at the other entries.
    void on_run_completed(std::vector<std::string> const& keys);

    /// The request is being sent to a server. If it is a suspect, the other entries are notified, as a suspect that runs alone must
    /// run nowhere else.
    /// @return whether the request is a suspect and runs alone; to be passed to on_attempt_over().
    Routing::CrashRestriction on_sent(std::string const& digest, std::string const& server);
    /// The attempt has ended, whatever its outcome.
    void on_attempt_over(std::string const& digest, Routing::CrashRestriction);

    /// Sends the current suspects, if any, to an entry that was just linked: it may know none of them.
    void on_entry_linked(std::string const& entry) const;
    /// Applies the suspects, runs and cleared requests that another entry sent.
    void on_crash_news(std::string const& entry, Schema::CrashNews const&);
    /// The link to an entry is down: its runs of suspects no longer count.
    void on_entry_link_down(std::string const& entry) { m_suspects.on_peer_gone(entry); }

    /// The platform's log has come back from an older copy: stores the blames again.
    void on_log_came_back_from_copy();

    /// Clears the request on the operator's order, here and at the other entries, so that it runs again.
    /// @return false if it is no suspect.
    bool clear_by_operator(std::string const& digest);

    void report_metrics() const;

private:
    struct TerminationCheck {
        std::unique_ptr<Transport::BackendCall> call;
        std::vector<std::function<void(bool)>> callbacks;
    };

    /// Passes the result of a connection attempt to all that wait for it.
    void finish_check(std::string const& server, bool has_terminated);
    /// Returns the message under construction, which is sent in the next iteration of the event loop.
    Schema::CrashNews& pending_news();
    void send_pending_news();
    /// Logs, counts and stores newly blamed requests. `source` is a metric label: `own`, `entry` or `store`.
    void report_blamed(std::vector<std::string> const& digests, char const* source);
    void clear(std::string const& digest, char const* reason);
    Schema::CrashSuspect announcement(Routing::CrashSuspects::Run const&, std::string const& incarnation, Core::Time now) const;
    void blame_last_of_group(char const* source);

    Core::EventLoop& m_loop;
    Core::Metrics& m_metrics;
    Callbacks m_callbacks;
    Routing::CrashSuspects m_suspects;
    Platform::StoredBlames m_blame_store;
    // Connection attempts in progress, by server id.
    std::map<std::string, TerminationCheck> m_termination_checks;
    // Servers that were found terminated, by id, with the time of detection.
    std::map<std::string, Core::Time> m_terminated_at;
    // Collects what is sent to the other entries in the next iteration of the event loop.
    std::optional<Schema::CrashNews> m_pending_news;
};

}
