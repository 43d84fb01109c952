// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibCore/PauseWatch.h>
#include <LibPlatform/AskedPeers.h>
#include <LibPlatform/BadRecords.h>
#include <LibPlatform/FactFollower.h>
#include <LibPlatform/FactLog.h>
#include <LibPlatform/StoredVersions.h>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace DirectEntry {

/// What the follower's settings are for an entry with these bounds.
Platform::FactFollowerSettings follower_settings(Schema::DirectEntrySettingsBounds const&);

/// What an entry knows of the configuration, the named versions and the backend servers: read from the platform's log, and
/// from other entries where the log brings this one nothing.
class EntryFacts {
public:
    struct Callbacks {
        std::function<void(Configuration::FactChanges const&)> changed;
        /// Sends a message to another entry.
        std::function<void(std::string const& entry, Schema::Message const&)> send;
        /// The other entries that a message can be sent to.
        std::function<std::vector<std::string>()> entries;
        /// Where another entry is.
        std::function<Platform::Distance(std::string const& entry)> distance;
    };

    /// Where the facts come from.
    struct Sources {
        std::unique_ptr<Platform::FactLog> log;
        /// Null where the platform keeps nothing of the product's own.
        std::unique_ptr<Platform::VersionRecords> versions;
    };

    /// Reads nothing before it is started.
    EntryFacts(Core::EventLoop&, std::string const& identity, Sources, Platform::FactFollowerSettings, Core::Metrics&, Callbacks);

    void start();

    Configuration::FactReplica const& replica() const { return m_replica; }
    /// Whether all that entries before this one knew of versions is known.
    bool knows_kept_versions() const { return m_kept.is_read(); }
    Core::PauseWatch& pauses() { return m_pauses; }

    /// The process woke from a pause: everything is read anew.
    void on_woke();
    /// Whether everything was heard anew since the last pause of the process, or nobody is there who could tell.
    bool is_awake();

    /// Time since the older of both topics was known to be current.
    Core::Duration age(Core::Time now) const { return m_follower.age(now); }
    Core::Duration configuration_age(Core::Time now) const { return m_follower.configuration_age(now); }

    /// A backend server was found to be another than the list says: the list is read again soon.
    void on_server_list_mismatch() { m_follower.on_server_list_mismatch(); }

    /// An engine holds a version that nothing else has told of.
    void on_shown_version(std::string const& model, int64_t version);

    /// Another entry has a new link: what was asked over the one before may be gone with it.
    void on_entry_linked(std::string const& entry);
    void on_request(std::string const& entry, Schema::FactRequest const&);
    void on_batch(std::string const& entry, Schema::FactBatch const&);
    /// Another entry has read the operator's records up to this offset, and goes by this version of the configuration.
    void on_peer_end(std::string const& entry, int64_t configuration_end, std::optional<int64_t> configuration_version);
    /// The version of the configuration that this entry goes by, if any.
    std::optional<int64_t> configuration_version() const;

private:
    Platform::FactFollower::Callbacks follower_callbacks();
    Platform::StoredVersions::Callbacks kept_callbacks();
    void on_changed(Configuration::FactChanges const&);
    void take_known(std::vector<Configuration::KnownVersion> const&);
    void on_read_failed(Configuration::FactTopic, Platform::FactLogFault);
    void on_read_recovered(Configuration::FactTopic, Core::Duration lost_for);
    Schema::Message request() const;
    void ask_for_versions(std::string const& entry);
    bool may_ask_again(std::string const& entry, Core::Time now);

    std::unique_ptr<Platform::FactLog> m_log;
    Core::Metrics& m_metrics;
    Platform::BadRecords m_bad_records;
    Callbacks m_callbacks;
    Core::PauseWatch m_pauses;
    std::optional<Core::Time> m_woke_at;
    // Since then another entry has told what it knows.
    bool m_has_heard_peer { false };
    Configuration::FactReplica m_replica;
    Platform::FactFollower m_follower;
    Platform::StoredVersions m_kept;
    std::set<Configuration::FactTopic> m_failing;
    // Entries that were asked what they know of versions, since the start or since the log answers again.
    int m_asked_for_versions { 0 };
    // Since when others are known to have read further.
    std::optional<Core::Time> m_behind_since;
    Core::Time m_asked_at { 0 };
    Platform::FactPeerSelector m_asked;
};

}
