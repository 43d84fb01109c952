// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/VersionRecords.h>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Platform {

/// Stores on the platform which versions the operator named in the log, and when each became known, so that this outlives all processes.
///
/// The newest record of an operator's key may name an older version: a write whose answer was lost may be carried out after a newer one.
/// A process that was running at the time knows the newer version, but one that starts does not. So two of the linked entries store each
/// version that they learn of, and an entry that starts reads these records first. It then knows the newest version, and when
/// it was named at the latest, which tells whether the version's deadline has passed.
class StoredVersions {
public:
    struct Callbacks {
        /// The stored versions were read.
        std::function<void(std::vector<Configuration::KnownVersion> const&)> read;
        /// Returns the identities of the other entries that this one has links to.
        std::function<std::vector<std::string>()> entries;
        /// A stored record could not be decoded.
        std::function<void(BadRecord const&)> bad_record;
    };

    /// `records`: null if the platform cannot store such records. `identity`: this entry.
    StoredVersions(Core::EventLoop&, std::unique_ptr<VersionRecords>, std::string identity, Configuration::FactReplica const&, Core::Metrics&, Callbacks);

    /// Reads the stored versions, with retries until a read is answered. Calls `then` once, after the first read, even if it failed.
    void start(std::function<void()> then);

    /// Whether the versions stored before the start of this process are known. Until then a version whose naming time is unknown may be an
    /// old one.
    bool is_read() const { return m_is_read; }

    /// Stores the versions that are not stored yet and that this entry is responsible for, one after another.
    void store_new_versions();
    /// The platform's log has come back from an older copy. Reads the records again, and writes those that are lost.
    void on_log_came_back_from_copy();

private:
    using Version = std::pair<std::string, int64_t>;

    void read();
    void on_read(tl::expected<VersionRecords::Page, FactLogFault> const&);
    void apply_page(VersionRecords::Page const&);
    bool is_responsible_for(Version const&, Core::Duration known_for) const;
    void write(Version const&, Configuration::NamedVersion const&);
    void on_written(Version const&, std::vector<Schema::ModelVersion> const& removed, bool is_done);
    std::vector<Schema::ModelVersion> surplus_versions(std::string const& model) const;

    Core::EventLoop& m_loop;
    std::unique_ptr<VersionRecords> m_records;
    std::string m_identity;
    Configuration::FactReplica const& m_facts;
    Core::Metrics& m_metrics;
    Callbacks m_callbacks;
    std::function<void()> m_on_first_read;
    bool m_is_read { false };
    bool m_is_writing { false };
    int m_failures { 0 };
    Core::Time m_next_write_at { 0 };
    std::set<Version> m_stored;
    std::unique_ptr<Core::Timer> m_read_timer;
    std::unique_ptr<Core::Timer> m_write_timer;
};

}
