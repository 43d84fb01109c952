// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Routing {

/// A token bucket: fills at `per_second` tokens a second, up to `burst` tokens. It starts full.
class TokenBucket {
public:
    TokenBucket(double per_second, double burst);

    /// Changes rate and burst. The tokens are kept, up to the new burst; a bucket whose burst was 0 is filled.
    void set(double per_second, double burst);
    /// @return false, without taking any, if there are fewer than `tokens`.
    bool try_acquire(double tokens, Core::Time now);
    /// Returns tokens to the bucket, up to the burst.
    void release(double tokens);
    /// Time until `tokens` are available; one minute if the rate is 0.
    Core::Duration time_until_available(double tokens, Core::Time now);
    /// Tokens available now.
    double available(Core::Time now);

private:
    void refill(Core::Time now);

    double m_per_second;
    double m_burst;
    double m_tokens;
    std::optional<Core::Time> m_refilled_at;
};

/// Limits each customer's request rate and concurrency at one entry: to the customer's limits over all entries, times this entry's share.
class CustomerLimits {
public:
    struct Refusal {
        Schema::Reason reason;
        /// How long the caller should wait before it retries.
        Core::Duration retry_after;
    };

    /// Replaces the configured customers. While none is configured, every customer is admitted without limits; otherwise a customer that
    /// is not configured is refused.
    void set_customers(std::map<std::string, Schema::CustomerSpec> const&);
    /// Sets this entry's share (0 to 1) of a customer's limits; it is 1 until it is set. Ignored for an unknown customer.
    void set_share(std::string const& customer, double share);

    /// Admits a request and counts it as in flight, until finish() is called for it.
    /// @return std::nullopt if it is admitted, otherwise the reason.
    std::optional<Refusal> start(std::string const& customer, Core::Time now);
    void finish(std::string const& customer);

    size_t in_flight(std::string const& customer) const;

private:
    struct State {
        Schema::CustomerSpec spec;
        TokenBucket bucket { 0, 0 };
        size_t in_flight { 0 };
        // False for a customer that is kept only because it has requests in flight, admitted before any customer was configured or
        // before this one was removed.
        bool is_configured { false };
        double share { 1 };
    };

    static void apply_share(State&);
    static size_t concurrency_share(State const&);

    bool m_has_configured_customers { false };
    std::map<std::string, State> m_customers;
};

/// Limits retries to a ratio of the requests, so that retries don't add much load to a failing system.
class RetryBudget {
public:
    /// `ratio`: retries per request.
    explicit RetryBudget(double ratio);

    /// Adds `ratio` to the budget.
    void on_request();
    /// @return whether a retry may be made; if so, it is deducted from the budget.
    bool try_acquire();

    /// The most retries that the budget accumulates, and that it starts with.
    static constexpr double max_saved_retries = 10;

private:
    double m_ratio;
    double m_saved_retries { max_saved_retries };
};

/// A random retry-after time between one and two times `base`, so that callers refused together don't retry together.
Core::Duration spread_retry_after(Core::Duration base, std::mt19937_64&);

}
