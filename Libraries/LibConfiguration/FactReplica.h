// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/DepartedServers.h>
#include <LibConfiguration/NamedVersions.h>
#include <LibCore/Error.h>
#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Configuration {

/// The two topics of the platform's log that a process reads continuously.
enum class FactTopic {
    /// The operator's records: the routing configuration and the named versions (versions of a model's weights that the operator
    /// orders the engines to load).
    Configuration,
    /// The list of backend servers.
    BackendServers,
};

/// The value of a key that was removed from the log.
struct Removed { };

/// The value of a backend server's record that could not be decoded.
struct Unreadable { };

using FactValue = std::variant<Removed, Unreadable, std::shared_ptr<Schema::RoutingConfiguration const>, Schema::ModelVersion, Schema::BackendServer>;

/// The value of one key of the log, from the record at the log position `revision` (see LogPosition.h).
///
/// Facts are the routing configuration, the named versions and the list of backend servers, as read from the platform's log.
struct Fact {
    Schema::FactKind kind { Schema::FactKind::Configuration };
    std::string key;
    int64_t revision { 0 };
    FactValue value;
};

/// Describes what a batch of facts changed in a FactReplica.
struct FactChanges {
    bool has_configuration { false };
    bool has_versions { false };
    /// Versions that were known before and for which an estimate of their naming time changed.
    std::vector<Schema::ModelVersion> versions_with_changed_times;
    /// Keys whose newest record has a lower version than the known one, because a delayed write reached the log after a later write.
    std::vector<std::string> keys_with_older_records;
    /// Identities of the backend servers that were added, changed or removed. May contain an identity more than once.
    std::vector<std::string> servers;
    /// Identities of the backend servers whose newest record was written before they left, and is left out.
    std::vector<std::string> delayed_servers;

    bool has_any() const { return has_configuration || has_versions || !keys_with_older_records.empty() || !servers.empty(); }
    /// Appends the changes of a later batch to this one.
    void add(FactChanges const&);
};

/// How long ago each topic was last known to be current.
struct FactAges {
    Core::Duration configuration { 0 };
    Core::Duration servers { 0 };

    /// The age of the topic that is further behind.
    Core::Duration older() const { return std::max(configuration, servers); }
};

/// Says when a batch of records was read, and the earliest time at which its new records can have been written.
struct ReadTime {
    Core::Time now;
    /// Lower bound of the time at which a new record was written; std::nullopt if it is not known.
    std::optional<Core::Time> written_after;
    /// For a batch from a peer: the earliest time at which the peer can have sent it. std::nullopt means `now`.
    std::optional<Core::Time> sent_after {};

    Core::Time earliest() const { return sent_after.value_or(now); }
};

/// A named version that is known from a stored record (of an earlier or another process), or that an engine already holds.
struct KnownVersion {
    std::string model;
    int64_t version { 0 };
    /// A time at which the version was already known. It may be derived from a wall clock, which may be wrong.
    Core::Time known { 0 };
};

/// A process's copy of the routing configuration, the named versions and the list of backend servers.
///
/// The platform's log is compacted: it keeps the newest record of each key for ever. The replica therefore needs no snapshots and
/// holds the newest record of each key. It is updated from the log and from peers that have read further in the log. No
/// update replaces a value by an older one, in whatever order the updates arrive.
class FactReplica {
public:
    void set_server_record_times(ServerRecordTimes const& times) { m_departed_servers.set_times(times); }

    /// Applies records that were read from the log at offset `end(topic)`. The parameter `end` is the offset after the last of them.
    FactChanges on_records(FactTopic, std::vector<Fact> const&, int64_t end, ReadTime const&);

    /// Applies a listing, which is the newest record of every key. A listing is read where the records from offset `end(topic)` on are no
    /// longer retained. A backend server that the listing lacks is treated as removed; the configuration and named versions are never removed.
    ///
    /// The first listing after the log came back from an older copy of itself mixes old records with those written again, and lacks some. It
    /// removes no server, and ends neither the removal nor the draining of one.
    FactChanges on_listing(FactTopic, std::vector<Fact> const&, int64_t end, ReadTime const&);

    /// Applies records of backend servers from before a listing that is applied next, in the order of their positions. A record that a
    /// server wrote before it left may be the one that the listing holds.
    FactChanges on_server_history(std::vector<Fact> const&, ReadTime const&);

    /// Applies superseded records of the operator, which later records of the same keys have replaced. A delayed write can reach the log after a later
    /// write, so the highest version counts, whatever the offset of its record.
    FactChanges on_history(std::vector<Fact> const&, ReadTime const&);

    /// Applies facts that a peer sent; facts that cannot be decoded are ignored. A version that is new to this process was named
    /// after both the peer and this process had last read the log without finding it.
    FactChanges on_peer(Schema::FactBatch const&, ReadTime const&);

    /// Applies versions that were read from stored records or seen at an engine. The log's newest record of the same key may name an
    /// older version, which then does not replace these.
    FactChanges on_known_versions(std::vector<KnownVersion> const&, Core::Time now);

    /// Whether the log has come back from a copy since all that is known here of the topic was read, by a position of now.
    bool is_of_later_era(FactTopic, int64_t position) const;

    /// Returns the position to read a topic from next.
    int64_t end(FactTopic topic) const { return topic == FactTopic::Configuration ? m_configuration_end : m_servers_end; }

    /// Returns true if the naming time of any named version is unknown.
    bool has_undated_versions() const;

    /// Returns the facts that a peer lacks, given the offsets up to which it has read, and all named versions: the log may hold older
    /// versions than this process knows, so the peer may lack some however far it has read. `ages` are those of
    /// this process's facts.
    ///
    /// If this process started from a listing that covers records that the peer has not read, the peer keeps its own offset in the
    /// topic of backend servers. The listing does not name the servers that were removed before it, so the peer reads their
    /// removals from the log; otherwise it would keep such servers.
    Schema::FactBatch facts_since(Schema::FactRequest const&, FactAges const& ages, Core::Time now) const;

    /// Null until the first configuration is read.
    std::shared_ptr<Schema::RoutingConfiguration const> const& configuration() const { return m_configuration; }
    /// The named versions, by model.
    std::map<std::string, NamedVersions> const& versions() const { return m_versions; }
    /// Returns the latest known record of a backend server. Null if the server is not listed, or if a server of the same service that
    /// was listed later has its address: a crashed server stays listed for a while, and of two servers at one address only the later
    /// one is running. A server that left stays draining or removed when a record that it wrote before is found later (DepartedServers.h). After a restart under the same identity the record is that of the latest incarnation; a record of an
    /// earlier incarnation that is written or sent late is ignored.
    Schema::BackendServer const* server(std::string const& id) const;
    /// Returns all backend servers for which server() is not null, ordered by identity.
    std::vector<Schema::BackendServer const*> servers() const;

private:
    using Key = std::pair<Schema::FactKind, std::string>;

    /// How a record compares with the one held under the same key.
    enum class RecordOrder {
        /// The record is newer, whatever its position.
        Newer,
        /// The record is older: its write was delayed, or it comes from a peer that has read less of the log.
        Older,
        /// The positions of the two records decide.
        AsLogged,
    };

    /// The latest known incarnation (one start) of a backend server.
    struct Incarnation {
        /// Position of the record that first listed this incarnation.
        int64_t first_listed { 0 };
        /// Start time, in milliseconds since the epoch; std::nullopt if no record stated it.
        std::optional<int64_t> started_at_ms;
        /// `SERVICE@ADDRESS` at which the server last accepted requests; empty until it did.
        std::string service_address {};
        /// Identity of the server that took over its address; empty if there is none. Late heartbeats of a superseded
        /// incarnation don't bring it back; the next start of its server does.
        std::string successor {};
    };

    /// Applies one fact if it is newer than the one held under its key.
    void apply(Fact const&, ReadTime const&, FactChanges&);
    void apply_history(Fact const&, ReadTime const&, FactChanges&);
    /// Updates the configuration or the named versions.
    /// @return true if the fact replaces the one held under its key.
    bool update_value(Fact const&, ReadTime const&, FactChanges&);
    void merge_version(std::string const& model, NamedVersion const&, FactChanges&);
    /// Returns true if the log may lack facts of this kind that are known here, so that a peer may lack them however far it has read.
    bool may_be_missing_in_log(Fact const&) const;
    /// Returns true if no record of the fact's key at the same or a higher offset is known.
    bool is_newest_record(Fact const&) const;
    /// Returns true if the version is not lower than the version of the fact held under the key.
    bool is_at_least_held_version(Key const&, Schema::ModelVersion const&) const;
    /// Adds all known versions of the fact's model, with their times, to the message for a peer.
    void add_known_versions(Fact const&, Core::Time now, Schema::Fact&) const;
    /// Adds to the message for a peer the record by which a server left, if later ones of it are left out, or the one by which it returned.
    void add_departure(Fact const&, Schema::Fact&) const;
    /// Applies what a peer knows of a server's return.
    /// @return false if the server has returned since it left as the message states.
    bool merge_peer_departure(Fact const&, Schema::Fact const& message);
    /// Applies the versions of a model that a peer knows, with the times that it states. A version newer than all those known here was
    /// named after both the peer and this process had last read the log without finding it.
    void merge_peer_versions(std::string const& model, Schema::Fact const&, ReadTime const&, FactChanges&);
    /// Applies a record of the list of backend servers if it is newer than the one held.
    void apply_server(Fact const&, ReadTime const&, FactChanges&);
    /// Returns true if a server that left wrote the record, in which it accepts requests, before it left; see DepartedServers.
    bool count_if_delayed(Fact const&, ReadTime const&);
    /// Keeps the held record of a server although an older one has a later position.
    void keep_held_server(Fact& held, Fact const& older);
    /// Undoes keep_held_server() for a server that has returned since it left by the record at that position.
    void count_later_records(std::string const& id, int64_t departure_position);
    /// Treats the servers that a removed one superseded as removed too. If one of them is running, because a delayed record made it seem the
    /// earlier of two, its next records show it.
    void presume_removed_before(std::string const& successor, ReadTime const&);
    /// Records that a server leaves or accepts requests, by the record that replaces `before`.
    void note_departure(Fact const&, Schema::BackendServer const* before, ReadTime const&);
    /// Marks a known backend server as draining because its newest record could not be decoded.
    void apply_unreadable(Fact const&, FactChanges&);
    /// Whether the fact is of a server that was removed before the log came back from a copy, and may be a record of that copy.
    bool was_removed_before_return(Fact const&) const;
    /// Returns the era of positions in messages of a build that states none.
    int64_t unstated_era() const;
    /// Moves the position to read a topic from next, never backwards.
    void advance_end(FactTopic, int64_t end);
    /// Compares two records of one server; either may be its removal.
    RecordOrder order_of_records(Fact const& held, Fact const& candidate) const;
    /// Records the incarnation of a server if it is later than the known one of the same identity.
    void update_incarnation(Schema::BackendServer const&, int64_t revision);
    /// Updates the address of a server, and which server supersedes which at the old and the new address.
    void update_address(std::optional<std::string> const& before, Schema::BackendServer const&, FactChanges&);
    /// Marks all but the latest listed of a service's servers at this server's address as superseded.
    void supersede(Schema::BackendServer const&, FactChanges&);
    /// Clears the address of a removed server, so that it is compared with the other servers again if it returns.
    void clear_service_address(std::string const& id);
    /// Clears every supersession that involves a server whose address changed, as it depended on the former address.
    void clear_supersessions(std::string const& id, FactChanges&);

    std::map<Key, Fact> m_facts;
    std::shared_ptr<Schema::RoutingConfiguration const> m_configuration;
    std::map<std::string, NamedVersions> m_versions;
    std::map<std::string, Incarnation> m_incarnations;
    // Position of the last removal of each server. Records of the server at lower positions are ignored, whoever sends them.
    std::map<std::string, int64_t> m_removed_at;
    DepartedServers m_departed_servers;
    // A position of a later era than the first was read or received.
    bool m_has_seen_return { false };
    // The log's newest record of the configuration holds a lower version than m_configuration, and a process that starts from a
    // listing reads only that record.
    bool m_log_has_older_configuration { false };
    int64_t m_configuration_end { 0 };
    int64_t m_servers_end { 0 };
    // End offset of the last listing of backend servers. Removals before it may be missing here.
    int64_t m_servers_listed_end { 0 };
};

/// Returns the ages that the facts of a peer's batch have at most as it is received at `now`: those that it states, and the time since it was
/// requested, as the answer may have waited on the way or in this process. A build that states one age for both topics states that of the
/// older one, and none by which the time on the way is known.
FactAges ages_of(Schema::FactBatch const&, Core::Time now);

/// Converts a fact to the message that is sent to peers. The body is empty for a removed key and for an unreadable record.
Schema::Fact to_message(Fact const&);
/// Converts a peer's message to a fact. An empty body means that the key was removed.
/// @param unstated_era the era of the record's position if the message states none.
/// @return MalformedJson, WrongType or UnknownKey if the body is not valid for the message's kind.
Core::ErrorOr<Fact> from_message(Schema::Fact const&, int64_t unstated_era = 0);

}
