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

/// Remembers which versions were named, and by when, past the end of all processes.
///
/// The newest record of an operator's key may name an older version: a write whose answer was lost may be carried out after a
/// newer one. A process that lives knows better, one that starts does not. So two of the linked entries write down each version
/// that they come to know, and an entry that starts reads that before anything else: it knows the newest version, and
/// whether its bound is over.
class KeptVersions {
public:
    struct Callbacks {
        std::function<void(std::vector<Configuration::KnownVersion> const&)> read;
        /// The other entries that are linked.
        std::function<std::vector<std::string>()> entries;
        std::function<void(BadRecord const&)> bad_record;
    };

    /// `records`: null where the platform keeps none.
    KeptVersions(Core::EventLoop&, std::unique_ptr<VersionRecords>, std::string identity, Configuration::FactReplica const&, Core::Metrics&, Callbacks);

    /// Reads what was kept, until that is answered. `then` is called after the first try, whatever came of it.
    void start(std::function<void()> then);

    /// Whether all that was kept before this process is known. Until then a version without a date may be an old one.
    bool is_read() const { return m_is_read; }

    /// Writes down what is not kept yet and falls to this entry.
    void keep_new();

private:
    using Version = std::pair<std::string, int64_t>;

    void read();
    void on_read(tl::expected<VersionRecords::Page, FactLogFault> const&);
    void take(VersionRecords::Page const&);
    bool falls_to_this(Version const&, Core::Duration known_for) const;
    void write(Version const&, Configuration::NamedVersion const&);
    void on_written(Version const&, std::vector<Schema::ModelVersion> const& forgotten, bool is_done);
    std::vector<Schema::ModelVersion> outlived(std::string const& model) const;

    Core::EventLoop& m_loop;
    std::unique_ptr<VersionRecords> m_records;
    std::string m_identity;
    Configuration::FactReplica const& m_facts;
    Core::Metrics& m_metrics;
    Callbacks m_callbacks;
    std::function<void()> m_then;
    bool m_is_read { false };
    bool m_is_writing { false };
    int m_failures { 0 };
    Core::Time m_next_write_at { 0 };
    std::set<Version> m_kept;
    std::unique_ptr<Core::Timer> m_read_timer;
    std::unique_ptr<Core::Timer> m_write_timer;
};

}
