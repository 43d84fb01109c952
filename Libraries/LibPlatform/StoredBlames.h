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

/// Stores on the platform which requests are blamed, that is, refused because backend servers kept terminating while they ran them. The
/// records outlive all processes and also reach entries that have no link to another entry.
///
/// Blames are rare, so an entry does not poll for them. It reads them when it starts and when it sees that a backend server terminated; an
/// entry that has not received a blame sends such a request once.
class StoredBlames {
public:
    struct Callbacks {
        /// A stored blame was read.
        std::function<void(Schema::CrashSuspect const&)> read;
        /// Returns the identities of the other entries that this one has links to.
        std::function<std::vector<std::string>()> entries;
    };

    /// `records`: null if the platform cannot store such records. `identity`: this entry.
    StoredBlames(Core::EventLoop&, std::unique_ptr<BlameRecords>, std::string identity, Core::Metrics&, Callbacks);

    /// Reads the stored blames, with retries until a read is answered. No effect while a read is in flight.
    void read();
    /// Like read(), but without effect if the last read began less than 2 s ago.
    void read_unless_recent();

    /// Stores the blame of a request if this entry is responsible for it. No effect if the request is only suspected or the blame is
    /// stored.
    void store_blame(Schema::CrashSuspect const&);
    /// The platform's log has come back from an older copy, so no blame counts as stored until it is read or written again.
    void on_log_came_back_from_copy();
    /// Removes the blame of a request, here and from the store.
    void remove_blame(std::string const& digest);
    /// Removes the blame here only: another entry has cleared it, and removes it from the store.
    void on_removed_by_peer(std::string const& digest);

private:
    struct PendingWrite {
        Schema::KeptBlame blame;
        Core::Time known_since { 0 };
    };

    void on_read(tl::expected<BlameRecords::Page, FactLogFault> const&);
    void write_due();
    void on_written(std::string const& digest, bool is_done);
    void remove_from_store(std::vector<std::string> const& digests);

    Core::EventLoop& m_loop;
    std::unique_ptr<BlameRecords> m_records;
    std::string m_identity;
    Core::Metrics& m_metrics;
    Callbacks m_callbacks;
    std::set<std::string> m_stored;
    std::map<std::string, PendingWrite> m_pending_writes;
    bool m_is_reading { false };
    bool m_is_writing { false };
    int m_failures { 0 };
    Core::Time m_read_at { 0 };
    std::unique_ptr<Core::Timer> m_read_timer;
    std::unique_ptr<Core::Timer> m_write_timer;
};

}
