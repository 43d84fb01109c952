// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibCore/PauseWatch.h>
#include <LibPlatform/BadRecords.h>
#include <LibPlatform/FactFollower.h>
#include <LibPlatform/FactLog.h>
#include <LibPlatform/KeptVersions.h>
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
    /// Time since the older of both topics was known to be current.
    Core::Duration age(Core::Time now) const { return m_follower.age(now); }

    /// A backend server was found to be another than the list says: the list is read again soon.
    void on_servers_doubted() { m_follower.on_servers_doubted(); }

    /// Another entry has a new link: what was asked over the one before may be gone with it.
    void on_entry_linked(std::string const& entry);
    void on_request(std::string const& entry, Schema::FactRequest const&);
    void on_batch(std::string const& entry, Schema::FactBatch const&);
    /// Another entry has read the operator's records up to this offset.
    void on_peer_end(std::string const& entry, int64_t configuration_end);

private:
    Platform::FactFollower::Callbacks follower_callbacks();
    Platform::KeptVersions::Callbacks kept_callbacks();
    void on_changed(Configuration::FactChanges const&);
    void on_failing(Configuration::FactTopic, Platform::FactLogFault);
    void on_regained(Configuration::FactTopic, Core::Duration lost_for);
    Schema::Message request() const;
    void ask_for_dates(std::string const& entry);

    std::unique_ptr<Platform::FactLog> m_log;
    Core::Metrics& m_metrics;
    Platform::BadRecords m_bad_records;
    Callbacks m_callbacks;
    Core::PauseWatch m_pauses;
    Configuration::FactReplica m_replica;
    Platform::FactFollower m_follower;
    Platform::KeptVersions m_kept;
    std::set<Configuration::FactTopic> m_failing;
    // Entries that were asked what they know of versions, since the start or since the log answers again.
    int m_asked_for_dates { 0 };
    // Since when others are known to have read further.
    std::optional<Core::Time> m_behind_since;
    Core::Time m_asked_at { 0 };
    // Which entries are asked next where the log brings nothing.
    size_t m_next_asked { 0 };
};

}
