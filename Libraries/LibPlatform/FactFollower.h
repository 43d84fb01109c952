// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibPlatform/FactLog.h>
#include <functional>
#include <memory>

namespace Platform {

struct FactFollowerSettings {
    /// Longest time that one read of the configuration waits for a record.
    Core::Duration configuration_wait { 3000 };
    /// Time between two reads of the list of backend servers: each heartbeat is a record, so waiting for one is dear.
    Core::Duration servers_interval { 800 };
    /// Least time between two reads of the list where something speaks against what was read.
    Core::Duration doubted_interval { 400 };
    /// Time before the first new try when the log does not answer; it doubles up to the longest.
    Core::Duration retry_interval { 150 };
    Core::Duration longest_retry_interval { 600 };
};

/// Keeps a replica of the facts as new as the platform's log, and says when the log does not answer.
class FactFollower {
public:
    struct Callbacks {
        std::function<void(Configuration::FactChanges const&)> changed;
        /// The log did not answer, or turned the call away: peers may know more. Called at each failed try.
        std::function<void(FactLogFault)> failing;
        std::function<void(BadRecord const&)> bad_record;
    };

    FactFollower(Core::EventLoop&, FactLog&, Configuration::FactReplica&, FactFollowerSettings, Callbacks);

    void start();
    /// Makes no more calls until it is started again.
    void stop();
    bool is_running() const { return m_is_running; }

    /// A peer's facts that were read from the log `age` ago were taken over.
    void on_peer_facts(Core::Duration age);

    /// A backend server was found to be another than the list says: the list is read again soon.
    void on_servers_doubted();

    /// Time since the older of both topics was known to be current.
    Core::Duration age(Core::Time now) const;

private:
    struct Topic {
        Configuration::FactTopic topic;
        // Nothing was read yet, or what should be read next is gone.
        bool needs_listing { true };
        bool is_reading { false };
        Core::Time current_at { 0 };
        // Tries in a row that brought no answer.
        int failures { 0 };
        // The next read was moved forward.
        bool is_hurried { false };
        std::unique_ptr<Core::Timer> timer;
    };

    void read(Topic&);
    void on_page(Topic&, tl::expected<FactPage, FactLogFault> const&, bool is_listing);
    void read_later(Topic&, Core::Duration);
    Core::Duration retry_wait(Topic const&) const;

    Core::EventLoop& m_loop;
    FactLog& m_log;
    Configuration::FactReplica& m_replica;
    FactFollowerSettings m_settings;
    Callbacks m_callbacks;
    bool m_is_running { false };
    Topic m_configuration { .topic = Configuration::FactTopic::Configuration, .timer = nullptr };
    Topic m_servers { .topic = Configuration::FactTopic::BackendServers, .timer = nullptr };
};

}
