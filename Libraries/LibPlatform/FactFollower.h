// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/PauseWatch.h>
#include <LibPlatform/FactLog.h>
#include <algorithm>
#include <functional>
#include <memory>
#include <optional>

namespace Platform {

/// Intervals and timeouts of a FactFollower, in milliseconds.
struct FactFollowerSettings {
    /// Longest time for which the log delays its answer to a read of the configuration until a record arrives.
    Core::Duration configuration_wait { 3000 };
    /// Time between two reads of the list of backend servers. The list is polled because each heartbeat is a record: a read that waits
    /// for one would be answered, and paid for, all the time.
    Core::Duration servers_interval { 800 };
    Configuration::ServerRecordTimes server_records;
    /// Shortest time between two reads of the list when a backend server was found to differ from it.
    Core::Duration mismatch_interval { 400 };
    /// Timeout of an answer. The log answers within a few milliseconds, so an answer that takes this long is treated as lost.
    Core::Duration answer_timeout { 600 };
    /// Timeout of an answer after more than one failed read in a row, so that a log that is only slow can still be read.
    Core::Duration longest_answer_timeout { 1200 };
    /// Time before a read is retried, after the log refused it or after repeated failures. It doubles with each failure up to
    /// `longest_retry_interval`.
    Core::Duration retry_interval { 150 };
    Core::Duration longest_retry_interval { 600 };
};

/// Keeps a replica of the facts (the configuration, the versions that the operator named, and the list of backend servers) up to date
/// with the platform's log, and reports when the log does not answer.
///
/// A connection can die without an error, so a read that waits for a record may never be answered. Two rules limit the delay: a read times
/// out early enough for the next one to be answered within the deadline that the platform sets, and after a failed read the next reads
/// do not wait for a record until one of them is answered. A record found after a failed read is treated as written when that read began,
/// and a record found after a pause of this process (stopped or suspended by the host) as written when the pause began.
class FactFollower {
public:
    struct Callbacks {
        /// Records that were read have changed the replica.
        std::function<void(Configuration::FactChanges const&)> changed;
        /// The log did not answer a read, or refused it; peers may have newer facts. Called at each failed read.
        std::function<void(Configuration::FactTopic, FactLogFault)> read_failed;
        /// The log answers again after failed reads or after restart_reads(); the duration is the time since the topic was last known to
        /// be current.
        std::function<void(Configuration::FactTopic, Core::Duration)> read_recovered;
        /// A record could not be decoded.
        std::function<void(BadRecord const&)> bad_record;
        /// The log has come back from an older copy of itself and lacks records that this system wrote.
        std::function<void()> log_came_back_from_copy { [] {} };
    };

    FactFollower(Core::EventLoop&, Core::PauseWatch const&, FactLog&, Configuration::FactReplica&, FactFollowerSettings, Callbacks);

    /// Starts to read both topics. No effect if it is running.
    void start();
    /// Stops reading; no callback is called until start() is called again.
    void stop();
    bool is_running() const { return m_is_running; }

    /// Call this when the process resumes after a pause. Reads both topics again at once and ignores the answers to reads in flight, whose
    /// connections may be dead or whose answers may be outdated.
    void restart_reads();

    /// Call this when facts from a peer are applied to the replica, with their ages at receipt. A topic that is older there keeps its age.
    void on_peer_facts(Configuration::FactAges const&);

    /// Call this when a backend server was found to be another incarnation than the one listed. Moves the next read of the list forward,
    /// but reads it at most once per `mismatch_interval`.
    void on_server_list_mismatch();

    /// Any record of the operator that is not in the replica by now was written after the returned time. Returns std::nullopt before the
    /// first read.
    std::optional<Core::Time> configuration_complete_until(Core::Time now) const { return earliest_write_time(m_configuration, now); }

    /// Time since each topic was known to be current.
    Configuration::FactAges ages(Core::Time now) const;

    /// The greatest age of either topic while the log answers each read.
    Core::Duration max_age_while_reading() const { return std::max(m_settings.configuration_wait, m_settings.servers_interval) + m_settings.answer_timeout; }

    /// Time by which both topics had been read from the log itself (not from a peer): the earlier of the two last reads.
    Core::Time read_at() const { return std::min(m_configuration.read_at, m_servers.read_at); }

private:
    struct Topic {
        Configuration::FactTopic topic;
        // The replaced records from before the last listing were read, or that read failed.
        bool has_read_history { false };
        // Nothing was read yet, or the log no longer stores the next records: the newest record of each key must be read.
        bool needs_listing { true };
        // When the topic is to be listed again, as the last listing was the first after the log came back from a copy.
        std::optional<Core::Time> list_again_at {};
        bool is_reading { false };
        // Number of the latest read; answers to earlier reads are ignored.
        uint64_t read_number { 0 };
        bool has_been_read { false };
        Core::Time current_at { 0 };
        Core::Time read_at { 0 };
        Core::Time read_began_at { 0 };
        Core::Time read_before_began_at { 0 };
        // Failed reads in a row.
        int failures { 0 };
        // Start of a read that failed or was abandoned, or, while more pages follow, the lower bound of the write times of the first page;
        // a record may have been written since. Of several failed reads in a row this is the first. Once so many have failed that the log
        // itself must be down, it is the last one: nothing can be written until the log is back.
        std::optional<Core::Time> gap_began_at;
        // The next read was moved forward because a backend server differs from the list.
        bool is_moved_forward { false };
        std::unique_ptr<Core::Timer> timer;
    };

    void read(Topic&);
    void on_page(Topic&, tl::expected<FactPage, FactLogFault> const&, bool is_listing);
    bool needs_history(Topic const&, FactPage const& listing) const;
    void read_history(Topic&, FactPage const& listing);
    void on_failed(Topic&, FactLogFault);
    void apply_page(Topic&, FactPage const&, bool is_listing, FactPage const& history = {});
    void schedule_read(Topic&, Core::Duration);
    std::optional<Core::Time> earliest_write_time(Topic const&, Core::Time now) const;
    ReadTimeouts timeouts(Topic const&) const;
    Core::Duration retry_wait(Topic const&, FactLogFault) const;

    Core::EventLoop& m_loop;
    Core::PauseWatch const& m_pauses;
    FactLog& m_log;
    Configuration::FactReplica& m_replica;
    FactFollowerSettings m_settings;
    Callbacks m_callbacks;
    bool m_is_running { false };
    Topic m_configuration { .topic = Configuration::FactTopic::Configuration, .gap_began_at = {}, .timer = nullptr };
    Topic m_servers { .topic = Configuration::FactTopic::BackendServers, .gap_began_at = {}, .timer = nullptr };
};

}
