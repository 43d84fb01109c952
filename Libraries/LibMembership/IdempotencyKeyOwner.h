// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/InstanceList.h>
#include <LibSchema/Generated.h>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Membership {

/// Returns the time at which a UUIDv7 was made (RFC 9562, section 5.7), in milliseconds since the epoch; std::nullopt if the text is
/// not a UUIDv7.
std::optional<Core::WallTime> uuid_creation_time(std::string const& uuid);

/// Makes a UUIDv7 from a time and 74 random bits.
std::string make_uuid_v7(Core::WallTime, std::mt19937_64&);

/// Returns the identity of the agent that owns an idempotency key, which runs the key's request and keeps its outcome: the first of the
/// agents in rendezvous order. Empty if there are no agents.
std::string owner_of_key(std::string const& key, std::vector<std::string> const& agents);

/// The times by which agents agree on the owner of a key.
struct IdempotencyKeyOwnerSettings {
    /// How long a lease, or a list that an entry has read, is valid.
    Core::Duration lease { 3000 };
    /// Maximum time between the moments at which two readers see a new list.
    Core::Duration max_list_lag { 2000 };
    /// Maximum difference between the wall clocks of any two processes.
    Core::Duration max_clock_difference { 500 };
    /// How long the outcome of a request with an idempotency key is kept.
    Core::Duration key_lifetime { 600000 };
};

/// Decides whether this agent owns an idempotency key that it has not seen before, and may run its request.
///
/// A key's owner is determined by the platform's list of instances. The agent holds a lease on its list while an entry that read the
/// same list within the duration of a lease has answered a ping that the agent sent within the duration of a lease. A former
/// owner therefore stops at most two leases and the list's lag after it was removed from the list. A new owner refuses every key
/// that was made before that time, because the former owner may have run the request.
class IdempotencyKeyOwner {
public:
    /// `self` is the identity of this agent, `service` the service of its backend server, `started_at` the start of this process.
    IdempotencyKeyOwner(std::string self, std::string service, IdempotencyKeyOwnerSettings, Core::WallTime started_at);

    /// Applies a newer list, which ends the lease on the older one.
    void on_list(InstanceList const&, Core::WallTime wall_now);

    /// Handles an entry's reply to a ping, and renews the lease if it is confirmed. `sent_at` is the time of the ping by this agent's
    /// clock, so a reply that waited while the agent was paused grants no lease. `list_version` is the version of the entry's list.
    /// `is_confirmed` says that the entry read that list within the duration of a lease. `agents_unchanged_since` is the time since
    /// which the entry has seen the same live agents of this service in every list. With it a restarted agent need not wait for
    /// former owners that never existed.
    void on_pong(Core::Time sent_at, int64_t list_version, bool is_confirmed, std::optional<Core::WallTime> agents_unchanged_since = {});

    /// Returns std::nullopt if the key's request may run here for the first time, otherwise the reason for refusing it.
    /// KeyBeforeHome and KeyTooOld mean that the request may have run before; every other reason means that it was not run here.
    std::optional<Schema::Reason> refusal(std::string const& key, Core::Time now, Core::WallTime wall_now) const;

    /// Returns true if the list that this agent holds was confirmed within the duration of a lease.
    bool has_lease(Core::Time now) const;

private:
    /// A time during which the list named the same live agents of the service.
    struct AgentSetPeriod {
        Core::WallTime since;
        std::vector<std::string> agents;
        // False if lists between the previous period and this one were skipped.
        bool follows_previous;
    };

    /// Returns the time since which this agent has owned the key without interruption, as far as its lists show.
    Core::WallTime owned_since(std::string const& key) const;

    std::string m_self;
    std::string m_service;
    IdempotencyKeyOwnerSettings m_settings;
    Core::WallTime m_started_at;
    int64_t m_list_version { -1 };
    // Oldest first. Only the periods that can decide about a key that is still accepted are kept.
    std::deque<AgentSetPeriod> m_periods;
    // When the ping was sent whose reply granted the lease.
    std::optional<Core::Time> m_lease_from;
};

/// Records for each service since when an entry has seen the same live agents in consecutive versions of the list.
class AgentSetHistory {
public:
    /// Applies a list that the entry has read. If versions before it were skipped, the time starts anew for every service.
    void on_list(InstanceList const&, Core::WallTime wall_now);
    /// Returns the time since which the live agents of a service are unchanged, or std::nullopt if no agent serves it.
    std::optional<Core::WallTime> since(std::string const& service) const;

private:
    struct ServiceAgents {
        std::vector<std::string> agents;
        Core::WallTime since;
    };

    int64_t m_version { -1 };
    std::map<std::string, ServiceAgents> m_services;
};

}
