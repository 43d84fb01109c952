// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibCore/PauseWatch.h>
#include <LibPlatform/BadRecords.h>
#include <LibPlatform/FactFollower.h>
#include <LibPlatform/FactLog.h>
#include <LibPlatform/FactPeerSelector.h>
#include <LibPlatform/StoredVersions.h>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace DirectEntry {

/// Derives how long reads of the log may wait, and how often the list of backend servers is read, from the bounds that the entry must keep.
Platform::FactFollowerSettings follower_settings(Schema::DirectEntrySettingsBounds const&);

/// Keeps the facts of an entry current: the configuration, the versions of models' weights named in the operator's log records, and
/// the list of backend servers.
///
/// The facts are read from the platform's log. While the log fails, or brings less than other entries have read, they are requested
/// from these entries. The versions that earlier processes knew are read from the platform's store first.
class EntryFacts {
public:
    struct Callbacks {
        /// Called after facts of the replica changed.
        std::function<void(Configuration::FactChanges const&)> changed;
        /// Sends a message to another entry.
        std::function<void(std::string const& entry, Schema::Message const&)> send;
        /// Returns the identities of the other entries that this one has a link to.
        std::function<std::vector<std::string>()> entries;
        /// Returns whether another entry is in the same region.
        std::function<Platform::Distance(std::string const& entry)> distance;
        /// Called when the platform's log has come back from an older copy, for each topic: what this system has stored may be lost.
        std::function<void()> log_came_back_from_copy;
    };

    /// The platform's log and store that the facts are read from.
    struct Sources {
        std::unique_ptr<Platform::FactLog> log;
        /// Stores known versions across restarts; null if the platform offers no storage for this system's own records.
        std::unique_ptr<Platform::VersionRecords> versions;
    };

    /// Reads nothing until start() is called.
    EntryFacts(Core::EventLoop&, std::string const& identity, Sources, Platform::FactFollowerSettings, Core::Metrics&, Callbacks);

    /// Reads the stored versions, then starts to follow the log.
    void start();

    Configuration::FactReplica const& replica() const { return m_replica; }
    /// Whether the versions that earlier processes stored have been read.
    bool has_read_stored_versions() const { return m_stored_versions.is_read(); }
    Core::PauseWatch& pauses() { return m_pauses; }

    /// Reads all facts again after the process resumed from a pause.
    void reread_after_pause();
    /// Whether the facts are current again after the last pause of the process: since it resumed, the log was read, or another entry that
    /// kept reading it has sent its facts, or 3 s have passed without either. True if there was no pause.
    bool is_current_after_pause();

    /// Time since each topic was last known to be current, whether from the log or from another entry.
    Configuration::FactAges ages(Core::Time now) const { return m_follower.ages(now); }

    /// A backend server differs repeatedly from its entry in the list: reads the list again soon.
    void on_server_list_mismatch() { m_follower.on_server_list_mismatch(); }

    /// Takes as named a version that an engine holds and that neither the log nor another entry has reported.
    void on_version_seen_at_engine(std::string const& model, int64_t version);

    /// Requests facts again from an entry with a new link, as far as they are needed: requests over the previous link may be lost.
    void on_entry_linked(std::string const& entry);
    /// Answers another entry's request with the facts that it lacks.
    void on_fact_request(std::string const& entry, Schema::FactRequest const&);
    /// Applies the facts that another entry sent.
    void on_batch(std::string const& entry, Schema::FactBatch const&);
    /// Another entry reports how far it has read the operator's records, and the version of its configuration. Requests the missing
    /// facts from it, at most once a second, if this entry has been behind for long enough.
    /// @param configuration_end the offset after the last record that it has read.
    void on_peer_log_position(std::string const& entry, int64_t configuration_end, std::optional<int64_t> configuration_version);
    /// Version of the configuration in force here; std::nullopt before one was read.
    std::optional<int64_t> configuration_version() const;

private:
    Platform::FactFollower::Callbacks follower_callbacks();
    void on_log_came_back_from_copy();
    Platform::StoredVersions::Callbacks stored_versions_callbacks();
    void on_changed(Configuration::FactChanges const&);
    /// Merges known versions into the replica, and reports and stores what changed.
    void apply_known_versions(std::vector<Configuration::KnownVersion> const&);
    void on_read_failed(Configuration::FactTopic, Platform::FactLogFault);
    void on_read_recovered(Configuration::FactTopic, Core::Duration lost_for);
    Schema::Message request() const;
    /// Requests what an entry knows of versions, from two entries at most.
    void request_versions(std::string const& entry);
    bool may_request_again(std::string const& entry, Core::Time now);

    std::unique_ptr<Platform::FactLog> m_log;
    Core::Metrics& m_metrics;
    Platform::BadRecords m_bad_records;
    Callbacks m_callbacks;
    Core::PauseWatch m_pauses;
    // Set from the end of a pause until the facts are current again.
    std::optional<Core::Time> m_resumed_at;
    // When the last pause began.
    Core::Time m_paused_at { 0 };
    // Whether another entry that kept reading the log has sent facts since m_resumed_at.
    bool m_has_current_peer_facts { false };
    Configuration::FactReplica m_replica;
    Platform::FactFollower m_follower;
    Platform::StoredVersions m_stored_versions;
    // Topics whose reads fail at present.
    std::set<Configuration::FactTopic> m_failing;
    // Number of entries asked for their known versions since the start, the last pause, or the log's recovery.
    int m_version_requests { 0 };
    // Since when another entry is known to have read further.
    std::optional<Core::Time> m_behind_since;
    // When an entry that had read further was last asked.
    Core::Time m_last_request_at { 0 };
    Platform::FactPeerSelector m_peer_selector;
};

}
