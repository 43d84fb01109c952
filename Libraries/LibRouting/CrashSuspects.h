// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// How a request is to be treated, by how many backend servers terminated while they ran it.
enum class CrashStanding {
    /// No server did, or only such whose terminations are attributed to other, blamed requests: the request is not restricted.
    Clear,
    /// One server terminated while it ran the request: each entry sends one copy of it at a time.
    Suspected,
    /// Two or more servers did: it runs alone, which means one copy in the whole fleet, on a server that runs no other suspect.
    RunsAlone,
    /// Three or more servers did, at least one of them while the request ran alone: the request is refused.
    Blamed,
};

/// The restrictions under which an attempt of a request was sent.
enum class CrashRestriction {
    /// None: the request was no suspect.
    Free,
    /// This entry sends no other copy until the attempt ends.
    Suspect,
    /// The request runs alone: until the attempt ends, no other suspect is sent to its server, and no entry sends another copy.
    Alone,
};

/// Detects requests that crash the backend servers that run them, from the attempts of this entry and from the announcements of others.
/// Such a request is blamed: it is refused because servers kept terminating while they ran it. Requests are identified by request_digest().
///
/// All requests that a server runs when it terminates become suspects, so most suspects are harmless. A suspect whose answer completes is
/// cleared. A suspect of two terminations runs alone, and is blamed only if a server terminates while it runs alone: servers that lose
/// power together lead to no blame. A termination that a blamed request has in its record does not count against other requests. A
/// blamed request is released if each of its terminations is also in the record of another blamed request.
///
/// A blamed request may run alone once more after one hour, then after four hours, then after sixteen each time. So a wrong blame does not
/// last for ever, and a right one costs three servers a day.
class CrashSuspects {
public:
    /// A request that a server ran when it terminated.
    struct Run {
        std::string digest;
        bool was_alone { false };
    };

    /// Whether there are no suspects; count() is their number, blamed ones included.
    bool is_empty() const { return m_suspects.empty(); }
    size_t count() const { return m_suspects.size(); }
    /// Number of requests that are blamed, or were until their blame expired.
    size_t blamed_count() const { return m_blamed; }
    /// How the request is to be treated now. Blamed turns into RunsAlone when the blame has expired.
    CrashStanding standing(std::string const& digest, Core::Time now) const;
    /// The record of servers that terminated while they ran the request; nullptr if it is no suspect.
    Schema::CrashSuspect const* find(std::string const& digest) const;

    /// Records that an incarnation of a server terminated while it ran the given requests.
    /// @return the digests of requests that are now blamed for the first time since they were last cleared or released.
    std::vector<std::string> on_server_terminated(std::string const& incarnation, std::vector<Run> const&, Core::Time now);
    /// Merges a suspect that another entry announced, or that an earlier incarnation of this one stored. @return as on_server_terminated().
    std::vector<std::string> merge(Schema::CrashSuspect const&, Core::Time now);
    /// Removes a suspect because its answer completed, or on the operator's order. @return false if it was no suspect.
    bool clear(std::string const& digest);

    /// Whether this entry may send a copy of the request now.
    bool can_send(std::string const& digest, Core::Time now) const;
    /// Records that this entry sends the request to a server. @return the restrictions that hold until on_attempt_over().
    CrashRestriction on_sent(std::string const& digest, std::string const& server, Core::Time now);
    /// Records that an attempt for which on_sent() did not return Free has ended, with whatever outcome.
    void on_attempt_over(std::string const& digest) { m_local_runs.erase(digest); }
    /// Another entry announced that it has sent a suspect, or that the attempt is over.
    void on_peer_run(std::string const& entry, Schema::SuspectRun const&, Core::Time now);
    /// Forgets the runs of an entry that is no longer reachable.
    void on_peer_gone(std::string const& entry);

    /// Which runs servers_with_suspects() considers: those of all suspects, or only of suspects that run alone.
    enum class RunFilter {
        AllRuns,
        AloneRuns,
    };
    /// The servers that run suspects, as sent by this entry and by others.
    std::set<std::string> servers_with_suspects(RunFilter, Core::Time now) const;

    /// Up to 256 suspects to announce to an entry that has just connected: first the blamed ones, then those with most terminations.
    std::vector<Schema::CrashSuspect> suspects_to_announce(Core::Time now) const;
    /// The suspects that this entry has sent and that still run.
    std::vector<Schema::SuspectRun> local_runs() const;
    /// All suspects, as shown to the operator.
    std::vector<Schema::CrashSuspect> all(Core::Time now) const;
    /// The record of one request, to announce to other entries; without terminations if it is no suspect.
    Schema::CrashSuspect to_announce(std::string const& digest, Core::Time now) const;

    /// Removes suspects without a new termination for 24 hours (10 minutes after a single one), and other entries' runs after 60 s.
    void remove_expired(Core::Time now);

private:
    struct Suspect {
        Schema::CrashSuspect known;
        // The terminations in `known` that are in the record of no other blamed request.
        std::vector<Schema::EndedRun> unattributed;
        Core::Time last_termination { 0 };
        std::optional<Core::Time> blamed_at;
    };

    struct SuspectRun {
        std::string server;
        bool is_alone { false };
        Core::Time since { 0 };
    };

    Suspect& suspect(std::string const& digest, Core::Time now);
    bool add_termination(Suspect&, Schema::EndedRun const&, Core::Time now);
    bool evaluate(std::string const& digest, Core::Time now);
    void blame(Suspect&, Core::Time since, int64_t times);
    void update_unattributed(Suspect&) const;
    void reevaluate_others();
    void update_all_unattributed();
    void release_wrongly_blamed();
    bool is_attributed_to_others(Suspect const&, Schema::EndedRun const&) const;
    void evict_least_important();
    void count_blamed();

    std::map<std::string, Suspect> m_suspects;
    size_t m_blamed { 0 };
    // Running suspects that this entry has sent, by digest.
    std::map<std::string, SuspectRun> m_local_runs;
    // Running suspects that other entries have sent, by entry and digest.
    std::map<std::pair<std::string, std::string>, SuspectRun> m_peer_runs;
};

}
