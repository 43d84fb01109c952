// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Routing {

/// A bucket of tokens that fills at a rate up to a burst.
class TokenBucket {
public:
    TokenBucket(double per_second, double burst);

    void set(double per_second, double burst);
    bool take(double tokens, Core::Time now);
    void give(double tokens);
    /// Time until that many tokens are there.
    Core::Duration wait_for(double tokens, Core::Time now);
    double level(Core::Time now);

private:
    void fill(Core::Time now);

    double m_per_second;
    double m_burst;
    double m_tokens;
    std::optional<Core::Time> m_filled_at;
};

/// Rate and concurrency of each customer at one entry: its limits over all entries, times this entry's share.
class CustomerLimits {
public:
    struct Refusal {
        Schema::Reason reason;
        Core::Duration retry_after;
    };

    /// Takes over the configured customers. A customer that is not configured is refused once any is.
    void set_customers(std::map<std::string, Schema::CustomerSpec> const&);
    /// This entry's share (0 to 1) of a customer's limits; 1 until it is set.
    void set_share(std::string const& customer, double share);

    /// Counts a request in, or says why not. Every request counted in must be counted out by finish().
    std::optional<Refusal> start(std::string const& customer, Core::Time now);
    void finish(std::string const& customer);

    size_t in_flight(std::string const& customer) const;

private:
    struct State {
        Schema::CustomerSpec spec;
        TokenBucket bucket { 0, 0 };
        size_t in_flight { 0 };
        // False for one that is only known by requests in flight, from before any was configured or after its removal.
        bool is_configured { false };
        double share { 1 };
    };

    static void apply_share(State&);
    static size_t concurrency_share(State const&);

    bool m_are_configured { false };
    std::map<std::string, State> m_customers;
};

/// Bounds retries to a share of recent requests, so that a failing system is not loaded further by them.
class RetryBudget {
public:
    explicit RetryBudget(double ratio);

    void on_request();
    /// True if a retry may be made; it is then paid for.
    bool take();

    /// Retries that a quiet entry may make at once.
    static constexpr double most_saved = 10;

private:
    double m_ratio;
    double m_saved { most_saved };
};

/// A time to come back that is spread over one to two times `base`, so that callers refused together do not return together.
Core::Duration spread_retry_after(Core::Duration base, std::mt19937_64&);

}
