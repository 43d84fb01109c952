// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/PermitIssuer.h>
#include <LibRouting/SendPermits.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// Keeps all entries together within the limits that backend servers state in their answers.
///
/// For each limited server one entry is the issuer: the first of all linked entries by rendezvous hash with the server's id. The other
/// entries request permits from it and send no request to the server without one. While entries disagree on which of them are linked,
/// two could be the issuer. Therefore an entry issues nothing in its first three seconds, and one that was lost counts for three seconds as
/// an issuer that issues nothing. An entry that has just started or is about to stop says so, and the others go on without it at once.
///
/// Two groups of entries that are cut off from each other have an issuer each. An issuer therefore issues only that share of the limit which
/// its group makes up of all entries: those that are linked, and those that were lost within the last minute. Single links that fail
/// between entries that others still reach, and entries that start while they are cut off, are not accounted for.
///
/// An entry sends a changed limit to the issuer, which sends it to all others.
class LimitCoordinator {
public:
    using Send = std::function<void(std::string const& entry, Schema::LimitExchange const&)>;

    /// The permits must outlive this object.
    LimitCoordinator(std::string identity, SendPermits&, Core::Time now, Send);

    /// Another entry that takes part is linked. May be called again while it is.
    void on_entry_linked(std::string const& entry, Core::Time now);
    void on_entry_lost(std::string const& entry, Core::Time now);
    /// A linked entry states whether it issues permits. One that says that it does not is replaced at once.
    void on_issuing_stated(std::string const& entry, bool issues_permits);
    /// The process is about to stop: lets the others replace it as an issuer. No effect if one of them is of a build that does not
    /// know of this, as it would go on to request permits here.
    void stop_issuing();
    /// Whether this entry issues permits; to be stated to the others as it changes.
    bool is_issuing() const { return m_state == State::Issuing; }
    void on_message(std::string const& from, Schema::LimitExchange const&, Core::Time now);
    /// The process resumed after a pause: others may have become the issuer meanwhile.
    void on_resumed(Core::Time now);
    /// Sends what is due. To be called every few tens of milliseconds.
    void tick(Core::Time now);

private:
    enum class State {
        Starting,
        Issuing,
        Stopping,
    };

    /// Begins to issue once the other entries have had the time to learn of this one.
    void begin_issuing(Core::Time now);
    /// The entries of which one is the issuer of each server.
    std::vector<std::string> candidates() const;
    /// The entry that issues the permits of the server, which may be one that was lost.
    std::string const& issuer(std::string const& server);
    /// Whether this entry is the issuer, and has been linked long enough to issue.
    bool is_issuer(std::string const& server, Core::Time now);
    void remove_lost(Core::Time now);
    /// The share of a limit that this entry issues: that of the entries it reaches, among these and those that it has lost.
    double reachable_share() const;
    /// Sends a server's limit to all other entries if this one is the issuer, or else to the issuer.
    void publish(std::string const& server, Core::Time now);
    /// Publishes the limits that have changed, unless that server's limit was published just before.
    void publish_due(Core::Time now);
    void request_permits(Core::Time now);
    /// Hands a request for permits to the issuer that this entry keeps; ignored if another entry is the issuer.
    void take_request(std::string const& entry, std::string const& server, int64_t count, Core::Time now);
    void issue_permits(Core::Time now);
    /// Tells an entry that has requested permits how many entries wait for some; tells nothing if another entry is the issuer.
    void tell_demand(std::string const& entry, std::string const& server, Core::Time now);
    Schema::LimitStatement statement(std::string const& server, ServerLimit const&, Core::Time now) const;
    void send_collected();

    std::string m_identity;
    SendPermits& m_permits;
    Send m_send;
    Core::Time m_issues_from;
    State m_state { State::Starting };
    std::set<std::string> m_linked;
    struct StatedIssuing {
        bool issues_permits { true };
        /// An entry that stated before that it issues is about to stop if it does not; one that never did has just started.
        bool has_issued { false };
    };
    // What linked entries state of themselves; older builds state nothing.
    std::map<std::string, StatedIssuing> m_stated_issuing;
    // When each entry was lost whose issuers are not replaced yet.
    std::map<std::string, Core::Time> m_lost;
    // When each entry was lost that may still send requests to servers, cut off from this one.
    std::map<std::string, Core::Time> m_unreachable;
    // The issuer of each server, while the set of entries stays the same.
    std::map<std::string, std::string> m_issuer_cache;
    std::map<std::string, PermitIssuer> m_issuers;
    // Servers whose limit changed and was not sent yet, and when each server's limit was last sent.
    std::set<std::string> m_unpublished;
    std::map<std::string, Core::Time> m_published_at;
    // What is sent to each entry at the end of this call.
    std::map<std::string, Schema::LimitExchange> m_collected;
};

}
