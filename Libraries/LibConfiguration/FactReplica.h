// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/NamedVersions.h>
#include <LibCore/Error.h>
#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Configuration {

/// The two streams of the platform's log that a process follows.
enum class FactTopic {
    /// The operator's records: the routing configuration and the named versions.
    Configuration,
    /// The list of backend servers.
    BackendServers,
};

/// A key that was removed.
struct Removed { };

/// A record of a backend server that could not be read.
struct Unreadable { };

using FactValue = std::variant<Removed, Unreadable, std::shared_ptr<Schema::RoutingConfiguration const>, Schema::ModelVersion, Schema::BackendServer>;

/// One key's value at the offset of its record.
struct Fact {
    Schema::FactKind kind { Schema::FactKind::Configuration };
    std::string key;
    int64_t revision { 0 };
    FactValue value;
};

/// What a batch of facts changed.
struct FactChanges {
    bool has_configuration { false };
    bool has_versions { false };
    /// Versions that were known and whose date is another now.
    std::vector<Schema::ModelVersion> dated_versions;
    /// Keys whose newest record names an older version than the one that is known: a write was carried out late.
    std::vector<std::string> older_records;
    /// Backend servers added, changed or removed.
    std::vector<std::string> servers;

    bool has_any() const { return has_configuration || has_versions || !older_records.empty() || !servers.empty(); }
    /// Adds what other facts changed after these.
    void add(FactChanges const&);
};

/// When records were read, and since when what is new among them can have been written.
struct ReadTime {
    Core::Time now;
    /// Nothing if it cannot be told.
    std::optional<Core::Time> written_after;
    /// For what a peer sent: the earliest time at which it can have done so, where that is before now.
    std::optional<Core::Time> sent_after {};

    Core::Time earliest() const { return sent_after.value_or(now); }
};

/// A version that was known before this process, or that an engine holds.
struct KnownVersion {
    std::string model;
    int64_t version { 0 };
    /// A time at which it was known, as far as times of day can be trusted.
    Core::Time known { 0 };
};

/// A process's copy of what the operator and the platform's list say.
///
/// The platform keeps the newest record of each key for ever, so there are no snapshots: a fold of the newest record
/// by key. It is fed from the log or by peers that read further; whatever comes, nothing moves back.
class FactReplica {
public:
    /// Takes records read at `end(topic)`; `end` is the offset behind the last of them.
    FactChanges on_records(FactTopic, std::vector<Fact> const&, int64_t end, ReadTime const&);

    /// Takes the newest record of every key, read because the records from `end(topic)` on are gone.
    /// Keys that are not among them were removed.
    FactChanges on_listing(FactTopic, std::vector<Fact> const&, int64_t end, ReadTime const&);

    /// Takes records that later ones of the same keys have replaced. A write may be carried out after one that was made later, so
    /// of versions the highest counts, wherever its record stands.
    FactChanges on_history(std::vector<Fact> const&, ReadTime const&);

    /// Takes what a peer sent. Facts that cannot be read change nothing. What is new was written after both the peer and this
    /// process had last read without it.
    FactChanges on_peer(Schema::FactBatch const&, ReadTime const&);

    /// Takes versions that outlived the processes that knew of them. What the log says of a version's key may be older than these.
    FactChanges on_known_versions(std::vector<KnownVersion> const&, Core::Time now);

    /// The offset to read a topic from next.
    int64_t end(FactTopic topic) const { return topic == FactTopic::Configuration ? m_configuration_end : m_servers_end; }

    /// Whether there are named versions that cannot be dated.
    bool has_undated_versions() const;

    /// What a peer lacks that has read this far, and all named versions: of these the log may have told it less, however far it
    /// has read. A listing names no server that was removed before it: a peer that had not
    /// read as far goes on reading where it was, or it would take such a server for one that is there.
    Schema::FactBatch facts_since(Schema::FactRequest const&, Core::Duration age, Core::Time now) const;

    /// Null until a configuration was read.
    std::shared_ptr<Schema::RoutingConfiguration const> const& configuration() const { return m_configuration; }
    std::map<std::string, NamedVersions> const& versions() const { return m_versions; }
    /// Null for one that is not listed, or whose address a later server has: what crashed stays listed for a while,
    /// and of two servers at one address only the later one lives. Of one that started again under its identity it is the
    /// latest incarnation: an earlier one's record, which may be written or told late, changes nothing.
    Schema::BackendServer const* server(std::string const& id) const;
    std::vector<Schema::BackendServer const*> servers() const;

private:
    using Key = std::pair<Schema::FactKind, std::string>;

    /// The latest incarnation that was seen of a backend server.
    struct Incarnation {
        /// Revision at which it was first seen.
        int64_t first_listed { 0 };
        /// Nothing where no record told it.
        std::optional<int64_t> started_at_ms;
        /// The service and address at which it was last in use; empty before it was.
        std::string place {};
        /// The server that its address went to; empty if none. One that was superseded never lives again, whatever late
        /// heartbeat of its own comes; only its server's next start does.
        std::string successor {};
    };

    void apply(Fact const&, ReadTime const&, FactChanges&);
    void apply_history(Fact const&, ReadTime const&, FactChanges&);
    bool take_value(Fact const&, ReadTime const&, FactChanges&);
    void take_version(std::string const& model, NamedVersion const&, FactChanges&);
    /// Whether the log may have told a peer less of such facts than is known here, however far it has read.
    bool may_be_missing_on_log(Schema::FactKind) const;
    /// Whether no later record of the fact's key is known.
    bool is_newest_record(Fact const&) const;
    /// Whether a named version's fact is no older than the one that is held under its key.
    bool is_as_new(Key const&, Schema::ModelVersion const&) const;
    /// Adds all known versions of a model to a fact that goes to a peer.
    void add_versions(Fact const&, Core::Time now, Schema::Fact&) const;
    void take_versions(std::string const& model, Schema::Fact const&, ReadTime const&, FactChanges&);
    /// Takes a record of the list of backend servers, if it says something newer than what is held.
    void apply_server(Fact const&, FactChanges&);
    void take_unreadable(Fact const&, FactChanges&);
    /// Begins an incarnation that is later than all that were seen under its identity.
    void note_incarnation(Schema::BackendServer const&, int64_t revision);
    void take_address(std::optional<std::string> const& before, Schema::BackendServer const&, FactChanges&);
    /// Of a service's servers at this one's address only the one that was listed last remains.
    void supersede(Schema::BackendServer const&, FactChanges&);
    /// One that was removed asks for its address anew, if it comes back.
    void forget_place(std::string const& id);
    /// Of a server that is at another address now, nothing holds that its address before decided.
    void give_back(std::string const& id, FactChanges&);

    std::map<Key, Fact> m_facts;
    std::shared_ptr<Schema::RoutingConfiguration const> m_configuration;
    std::map<std::string, NamedVersions> m_versions;
    std::map<std::string, Incarnation> m_incarnations;
    // Revision of the last removal of each server: what was written before it is over, whoever tells it.
    std::map<std::string, int64_t> m_removed_at;
    // The newest record of the configuration is an older one, which whoever starts takes for the newest.
    bool m_log_has_older_configuration { false };
    int64_t m_configuration_end { 0 };
    int64_t m_servers_end { 0 };
    // Removals of servers before this offset may be missing here.
    int64_t m_servers_listed_end { 0 };
};

/// The fact as it goes to peers.
Schema::Fact to_message(Fact const&);
/// @return MalformedJson, WrongType or UnknownKey for a body that is not of its kind.
Core::ErrorOr<Fact> from_message(Schema::Fact const&);

}
