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

/// What may be done with a request, as far as it is suspected of ending servers.
enum class CrashStanding {
    Clear,
    /// A server ended while it ran the request, and others: one copy of it at a time goes out from each entry.
    Suspected,
    /// Two or more did: it runs by itself, one copy in the whole fleet, on a server that runs no other suspect.
    RunsAlone,
    /// One of three or more ended when it ran by itself: it is refused.
    Blamed,
};

/// How a request went out, as far as it is a suspect.
enum class CrashSend {
    /// It is none.
    Free,
    /// No other copy goes out from this entry meanwhile.
    Suspect,
    /// It runs by itself: no other suspect goes to its server meanwhile, and no other copy out anywhere.
    Alone,
};

/// Which requests end the servers that run them: what one entry knows, of its own sends and from other entries.
///
/// All that a server runs when it ends are suspects, so most of them are harmless. Whatever runs to its end is cleared. One that was
/// there at two ends is put to the test by itself, and only the end of that server makes it to blame: several servers that lose power
/// together blame nobody. An end for which one is blamed counts against no other; and one whose ends are all explained by others that
/// were blamed later is blamed no more.
///
/// A blamed request is tried once more by itself when an hour is over, then four hours, then sixteen, so that a wrong blame
/// does not last for good and a right one costs three servers a day.
class CrashSuspects {
public:
    /// How one request fared on a server that ended.
    struct Run {
        std::string digest;
        bool was_alone { false };
    };

    bool is_empty() const { return m_suspects.empty(); }
    size_t count() const { return m_suspects.size(); }
    size_t blamed_count() const { return m_blamed; }
    CrashStanding standing(std::string const& digest, Core::Time now) const;
    /// Servers that ended under the request; null if it is no suspect.
    Schema::CrashSuspect const* find(std::string const& digest) const;

    /// An incarnation of a server ended while it ran these. @return the requests that are blamed for the first time since they
    /// were last cleared.
    std::vector<std::string> on_server_ended(std::string const& incarnation, std::vector<Run> const&, Core::Time now);
    /// What another entry knows, or an earlier one knew. @return as above.
    std::vector<std::string> merge(Schema::CrashSuspect const&, Core::Time now);
    /// The request ran to its end, or the operator says that it may. @return false if it was no suspect.
    bool clear(std::string const& digest);

    /// Whether a copy of the request may go out from this entry now.
    bool may_send(std::string const& digest, Core::Time now) const;
    /// This entry sends the request.
    CrashSend on_sent(std::string const& digest, std::string const& server, Core::Time now);
    /// A send that did not go out as Free has ended, however it did.
    void on_send_over(std::string const& digest) { m_own.erase(digest); }
    void on_peer_run(std::string const& entry, Schema::SuspectRun const&, Core::Time now);
    void on_peer_gone(std::string const& entry);

    /// Servers on which suspects run that were sent from here or by others: all such, or those on which one runs by itself.
    enum class Among {
        AllRuns,
        LoneRuns,
    };
    std::set<std::string> servers_with_suspects(Among, Core::Time now) const;

    /// What an entry that comes must know: the suspects, first those that most speaks against.
    std::vector<Schema::CrashSuspect> worth_telling(Core::Time now) const;
    /// The suspects that run, sent from here.
    std::vector<Schema::SuspectRun> own_runs() const;
    /// All suspects, for the operator.
    std::vector<Schema::CrashSuspect> all(Core::Time now) const;
    /// What another entry may learn of one request.
    Schema::CrashSuspect to_tell(std::string const& digest, Core::Time now) const;

    /// Forgets what is too old to matter.
    void forget_old(Core::Time now);

private:
    struct Suspect {
        Schema::CrashSuspect known;
        // Of its ends those for which no other is blamed.
        std::vector<Schema::EndedRun> unexplained;
        Core::Time last_end { 0 };
        std::optional<Core::Time> blamed_at;
    };

    struct SuspectRun {
        std::string server;
        bool is_alone { false };
        Core::Time since { 0 };
    };

    Suspect& suspect(std::string const& digest, Core::Time now);
    bool take_end(Suspect&, Schema::EndedRun const&, Core::Time now);
    bool judge(std::string const& digest, Core::Time now);
    void blame(Suspect&, Core::Time since, int64_t times);
    void explain(Suspect&) const;
    void weigh_others();
    void explain_all();
    void release_explained();
    bool is_explained_by_others(Suspect const&, Schema::EndedRun const&) const;
    void make_room();
    void count_blamed();

    std::map<std::string, Suspect> m_suspects;
    size_t m_blamed { 0 };
    // Suspects that this entry has sent, by digest.
    std::map<std::string, SuspectRun> m_own;
    // Those of other entries, by entry and digest.
    std::map<std::pair<std::string, std::string>, SuspectRun> m_peers;
};

}
