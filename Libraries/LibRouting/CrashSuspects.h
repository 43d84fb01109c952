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

/// How a suspect, or a request that has suspects among its keys, is to be treated, by how many backend servers terminated while they ran
/// it. Later enumerators are the stricter ones.
enum class CrashStanding {
    /// No server did, or only such whose terminations are attributed to other, blamed suspects: the request is not restricted. A part of
    /// prompts is clear up to the second termination, as sound requests share it.
    Clear,
    /// One server terminated while it ran the request: each entry sends one copy of it at a time.
    Suspected,
    /// Two or more servers did: it runs alone, which means one copy in the whole fleet, on a server that runs no other suspect.
    RunsAlone,
    /// Three or more servers did, at least one of them while the request ran alone (two for a part of prompts): the request is refused.
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

/// Detects requests, and parts of prompts, that crash the backend servers that run them, from the attempts of this entry and from the
/// announcements of others. Such a suspect is blamed: requests with it are refused because servers kept terminating while they ran it.
///
/// A request has several keys, each of which may be a suspect: its request_digest(), and the prompt_part_key() of each part of its prompt
/// that other requests may share. All keys of the requests that a server runs when it terminates become suspects, so most suspects are
/// harmless. A suspect is cleared when an answer to a request with it completes. A suspect of two terminations runs alone, and is blamed
/// only if a server terminates while it runs alone (two servers, for a part): servers that lose power together lead to no blame.
///
/// If several suspects of one request ran alone together, any of them may be the cause, and none is blamed by itself. Requests with all
/// of them are refused. Requests with only some of them run alone and tell which: one that completes clears its suspects, and the last that
/// is left is blamed.
///
/// A termination that a blamed suspect has in its record does not count against other whole requests. A blamed suspect is
/// released if each of its terminations is also in the record of another blamed one.
///
/// A blamed request may run alone once more after one hour, then after four hours, then after sixteen each time. So a wrong blame does not
/// last for ever, and a right one costs three servers a day. A part of prompts may do so after ten seconds and one minute before that.
class CrashSuspects {
public:
    /// A key of a request that a server ran when it terminated, and whether the key had to run alone.
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
    /// How a request with these keys is to be treated now.
    CrashStanding standing(std::vector<std::string> const& keys, Core::Time now) const;
    /// The record of servers that terminated while they ran the request; nullptr if it is no suspect.
    Schema::CrashSuspect const* find(std::string const& digest) const;

    /// Records that an incarnation of a server terminated while it ran requests with the given keys.
    /// @return the keys that are now blamed for the first time since they were last cleared or released.
    std::vector<std::string> on_server_terminated(std::string const& incarnation, std::vector<Run> const&, Core::Time now);
    /// Merges suspects that another entry announced together, or that an earlier incarnation of this one stored.
    /// @return as on_server_terminated().
    std::vector<std::string> merge(std::vector<Schema::CrashSuspect> const&, Core::Time now);
    /// Removes a suspect because an answer completed, or on the operator's order. @return false if it was no suspect.
    bool clear(std::string const& digest);
    /// Blames the suspects that are the only ones left, after clear(), of those that ran alone together. @return as on_server_terminated().
    std::vector<std::string> blame_last_of_group(Core::Time now);

    /// Whether this entry may send a copy of a request with this key now, as far as this key goes.
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
    bool is_sole_cause(Suspect const&) const;
    bool add_termination(Suspect&, Schema::EndedRun const&, Core::Time now);
    void add_to_group(std::string const& digest, Schema::EndedRun const&);
    void remove_from_groups(Schema::CrashSuspect const&);
    bool has_blamed_group(std::vector<std::string> const& keys) const;
    std::optional<std::string> merge_record(Schema::CrashSuspect const&, Core::Time now, std::vector<std::string>& changed);
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
    // The suspects that ran alone when a server terminated, by its incarnation. The cause is among them.
    std::map<std::string, std::set<std::string>> m_alone_groups;
    // Running suspects that this entry has sent, by digest.
    std::map<std::string, SuspectRun> m_local_runs;
    // Running suspects that other entries have sent, by entry and digest.
    std::map<std::pair<std::string, std::string>, SuspectRun> m_peer_runs;
};

}
