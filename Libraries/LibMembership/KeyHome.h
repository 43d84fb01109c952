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

/// Milliseconds since the epoch at which a UUIDv7 was made (RFC 9562, section 5.7); nothing if it is none.
std::optional<Core::WallTime> made_at(std::string const& uuid);

/// A new UUIDv7: the time, and 74 random bits.
std::string make_key(Core::WallTime, std::mt19937_64&);

/// The agent that keeps the outcome of an idempotency key: the first in rendezvous order. Empty if there is none.
std::string home_of(std::string const& key, std::vector<std::string> const& agents);

struct KeyHomeSettings {
    /// How long a lease, or a list read by an entry, counts.
    Core::Duration lease { 3000 };
    /// How far two readers of the list may lie apart.
    Core::Duration list_lag { 2000 };
    /// Largest difference between any two clocks.
    Core::Duration clock_bound { 500 };
    /// How long an outcome is kept.
    Core::Duration key_lifetime { 600000 };
};

/// Decides whether this agent may run a request with a key that was never seen here.
///
/// The platform's list is the arbiter of a key's home. The agent holds a lease on its list:
/// an entry that read the same list within a lease answered a ping that was sent within a lease.
/// An old home thus stops at most two leases and the list's lag after it was taken off the list,
/// and a new home refuses every key that was made before that.
class KeyHome {
public:
    KeyHome(std::string self, std::string service, KeyHomeSettings, Core::WallTime started_at);

    /// A newer list came in force here.
    void on_list(InstanceList const&, Core::WallTime wall_now);

    /// The echo of a ping. `sent_at` is this agent's own clock at the ping, so that an answer
    /// that waited while the agent was paused grants nothing.
    /// `set_since` is since when the answerer has seen the same live agents of this service in every list:
    /// it spares a restarted agent the wait for homes that there never were.
    void on_pong(Core::Time sent_at, int64_t list_version, bool is_confirmed, std::optional<Core::WallTime> set_since = {});

    /// Nothing if the key may run here for the first time; otherwise why not.
    /// KeyBeforeHome and KeyTooOld say that it may have run before; every other reason that it was not run here.
    std::optional<Schema::Reason> refusal(std::string const& key, Core::Time now, Core::WallTime wall_now) const;

    bool has_lease(Core::Time now) const;

private:
    struct Era {
        Core::WallTime since;
        std::vector<std::string> agents;
        // False if lists between the previous era and this one were never seen.
        bool follows_previous;
    };

    Core::WallTime home_since(std::string const& key) const;

    std::string m_self;
    std::string m_service;
    KeyHomeSettings m_settings;
    Core::WallTime m_started_at;
    int64_t m_list_version { -1 };
    // The sets of agents that were in force here, oldest first.
    std::deque<Era> m_eras;
    std::optional<Core::Time> m_lease_from;
};

/// Since when an entry has seen the same live agents of each service, in lists of which it skipped none.
class SetHistory {
public:
    void on_list(InstanceList const&, Core::WallTime wall_now);
    std::optional<Core::WallTime> since(std::string const& service) const;

private:
    struct Seen {
        std::vector<std::string> agents;
        Core::WallTime since;
    };

    int64_t m_version { -1 };
    std::map<std::string, Seen> m_services;
};

}
