// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/PauseWatch.h>
#include <LibPlatform/FactLog.h>
#include <functional>
#include <memory>
#include <optional>

namespace Platform {

struct FactFollowerSettings {
    /// Longest time that one read of the configuration waits for a record.
    Core::Duration configuration_wait { 3000 };
    /// Time between two reads of the list of backend servers: each heartbeat is a record, so waiting for one is dear.
    Core::Duration servers_interval { 800 };
    /// Least time between two reads of the list where something speaks against what was read.
    Core::Duration doubted_interval { 400 };
    /// How long an answer may be on its way. The log answers within a few milliseconds; this is found to be lost.
    Core::Duration answer_patience { 600 };
    /// The same, where reads before were given up: a log that is only slow is heard in the end.
    Core::Duration longest_answer_patience { 1200 };
    /// Time before a new try when the log turns a call away; it doubles with each failed try, up to the longest.
    Core::Duration retry_interval { 150 };
    Core::Duration longest_retry_interval { 600 };
};

/// Keeps a replica of the facts as new as the platform's log, and says when the log does not answer.
///
/// A connection can fall silent without a word, so a read that waits may be dead. What that costs is bounded in two ways:
/// a read is given up soon enough for the next one to be answered within the time that the platform allows, and until one
/// is answered the next ones wait for nothing. What is found after such a read counts as written when that read began, and
/// what is found after a pause of this process as written when the pause began.
class FactFollower {
public:
    struct Callbacks {
        std::function<void(Configuration::FactChanges const&)> changed;
        /// The log did not answer, or turned the call away: peers may know more. Called at each failed try.
        std::function<void(Configuration::FactTopic, FactLogFault)> failing;
        /// The log answers again, this long after it last did.
        std::function<void(Configuration::FactTopic, Core::Duration)> regained;
        std::function<void(BadRecord const&)> bad_record;
    };

    FactFollower(Core::EventLoop&, Core::PauseWatch const&, FactLog&, Configuration::FactReplica&, FactFollowerSettings, Callbacks);

    void start();
    /// Makes no more calls until it is started again.
    void stop();
    bool is_running() const { return m_is_running; }

    /// The process woke from a pause: what is being read may be dead, or old, so all is read anew at once.
    void read_anew();

    /// A peer's facts that were read from the log `age` ago were taken over.
    void on_peer_facts(Core::Duration age);

    /// A backend server was found to be another than the list says: the list is read again soon.
    void on_servers_doubted();

    /// The operator's records that are not known here by now were written after this; nothing before the first read.
    std::optional<Core::Time> configuration_complete_at(Core::Time now) const { return written_after(m_configuration, now); }

    /// Time since the older of both topics was known to be current.
    Core::Duration age(Core::Time now) const;

    /// When both topics were last read from the log itself.
    Core::Time read_at() const { return std::min(m_configuration.read_at, m_servers.read_at); }

    /// Time since the operator's records were known to be current, whatever is known of the backend servers.
    Core::Duration configuration_age(Core::Time now) const { return now - m_configuration.current_at; }

private:
    struct Topic {
        Configuration::FactTopic topic;
        // What was replaced before this process began was looked through.
        bool has_read_history { false };
        // Nothing was read yet, or what should be read next is gone.
        bool needs_listing { true };
        bool is_reading { false };
        // Of the read under way; the answer to an earlier one is passed over.
        uint64_t read_number { 0 };
        bool has_been_read { false };
        Core::Time current_at { 0 };
        Core::Time read_at { 0 };
        Core::Time read_began_at { 0 };
        Core::Time read_before_began_at { 0 };
        // Tries in a row that brought no answer.
        int failures { 0 };
        // When a read began that was not answered: a record may have been written since. The first of them, or the last
        // once so many failed that it is the log that is away: what is read after that was written when it was back.
        std::optional<Core::Time> blind_since;
        // The next read was moved forward.
        bool is_hurried { false };
        std::unique_ptr<Core::Timer> timer;
    };

    void read(Topic&);
    void on_page(Topic&, tl::expected<FactPage, FactLogFault> const&, bool is_listing);
    void read_history(Topic&, FactPage const& listing);
    void on_failed(Topic&, FactLogFault);
    void take(Topic&, FactPage const&, bool is_listing, std::vector<Configuration::Fact> const& history = {});
    void read_later(Topic&, Core::Duration);
    std::optional<Core::Time> written_after(Topic const&, Core::Time now) const;
    ReadPatience patience(Topic const&) const;
    Core::Duration retry_wait(Topic const&, FactLogFault) const;

    Core::EventLoop& m_loop;
    Core::PauseWatch const& m_pauses;
    FactLog& m_log;
    Configuration::FactReplica& m_replica;
    FactFollowerSettings m_settings;
    Callbacks m_callbacks;
    bool m_is_running { false };
    Topic m_configuration { .topic = Configuration::FactTopic::Configuration, .blind_since = {}, .timer = nullptr };
    Topic m_servers { .topic = Configuration::FactTopic::BackendServers, .blind_since = {}, .timer = nullptr };
};

}
