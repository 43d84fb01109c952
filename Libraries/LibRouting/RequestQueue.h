// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// Requests of one service that wait at an entry for an instance: by priority, and within a priority
/// one customer after another, so that a customer with many waits behind itself and not before the others.
class RequestQueue {
public:
    explicit RequestQueue(size_t limit);

    void set_limit(size_t limit) { m_limit = limit; }

    enum class PushResult {
        Queued,
        Full,
        /// By the present rate and the usual length of a request it would end after its deadline.
        TooLate,
    };

    PushResult push(uint64_t request, std::string const& customer, int priority, Core::Time deadline, Core::Time now);

    void remove(uint64_t request);

    /// Offers requests in their order until `start` has taken as many as it can.
    /// `start` answers true if it took the request; one that it did not take stays where it was.
    void offer(std::function<bool(uint64_t)> const& start);

    /// A request of this service ended at an instance, `took` after it was sent there: the estimates rest on it.
    void on_completed(Core::Time now, Core::Duration took);

    /// How long a request usually takes at an instance.
    Core::Duration expected_service() const;

    /// Longest a request pushed now is expected to wait.
    Core::Duration expected_wait(int priority) const;

    size_t size() const { return m_where.size(); }

private:
    struct Level {
        std::map<std::string, std::deque<uint64_t>> by_customer;
        // Customers in the order of their turns.
        std::deque<std::string> turns;
        size_t size { 0 };
    };

    size_t ahead_of(int priority) const;

    size_t m_limit;
    std::map<int, Level> m_levels;
    std::map<uint64_t, std::pair<int, std::string>> m_where;
    // Mean time between completions, milliseconds; 0 while unknown.
    double m_mean_gap_ms { 0 };
    double m_mean_service_ms { 0 };
    std::optional<Core::Time> m_last_completed;
    size_t m_completed_in_tick { 0 };
};

}
