// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/BlameRecords.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Platform {

/// Remembers which requests are blamed for ending servers past the end of all processes, and for entries that no other entry
/// reaches.
///
/// Blames are rare, so they are read when an entry starts and when it meets the end of a server, and not followed: an entry that
/// has heard nothing of a blame sends such a request once.
class KeptBlames {
public:
    struct Callbacks {
        std::function<void(Schema::CrashSuspect const&)> read;
        /// The other entries that are linked.
        std::function<std::vector<std::string>()> entries;
    };

    /// `records`: null where the platform keeps none.
    KeptBlames(Core::EventLoop&, std::unique_ptr<BlameRecords>, std::string identity, Core::Metrics&, Callbacks);

    /// Reads what is kept, until that is answered.
    void read();
    /// The same, but not again soon after the last time.
    void read_soon();

    /// The request is blamed: where it falls to this entry, that is written down.
    void keep(Schema::CrashSuspect const&);
    /// Takes a blame back, here and in the store.
    void forget(std::string const& digest);
    /// Another entry has taken it back.
    void on_forgotten(std::string const& digest);

private:
    struct Unwritten {
        Schema::KeptBlame blame;
        Core::Time known_since { 0 };
    };

    void on_read(tl::expected<BlameRecords::Page, FactLogFault> const&);
    void write_due();
    void on_written(std::string const& digest, bool is_done);
    void drop(std::vector<std::string> const& digests);

    Core::EventLoop& m_loop;
    std::unique_ptr<BlameRecords> m_records;
    std::string m_identity;
    Core::Metrics& m_metrics;
    Callbacks m_callbacks;
    std::set<std::string> m_kept;
    std::map<std::string, Unwritten> m_unwritten;
    bool m_is_reading { false };
    bool m_is_writing { false };
    int m_failures { 0 };
    Core::Time m_read_at { 0 };
    std::unique_ptr<Core::Timer> m_read_timer;
    std::unique_ptr<Core::Timer> m_write_timer;
};

}
