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

/// Queue of the requests of one service that wait at an entry for an instance. Requests are ordered by priority, lower values first.
/// Within a priority, customers take turns (round robin), so that a customer with many requests delays only itself.
class RequestQueue {
public:
    /// @param limit maximum number of queued requests.
    explicit RequestQueue(size_t limit);

    /// Takes effect for later calls of push(); requests in the queue stay.
    void set_limit(size_t limit) { m_limit = limit; }

    enum class PushResult {
        Queued,
        Full,
        /// The request is expected to end after its deadline, by the measured rate of completions and duration of requests.
        TooLate,
    };

    /// Adds a request, unless the result is Full or TooLate.
    PushResult push(uint64_t request, std::string const& customer, int priority, Core::Time deadline, Core::Time now);

    /// Does nothing if the request is not in the queue.
    void remove(uint64_t request);

    /// Calls `start` with queued requests in their order. A request is removed if `start` returns true. If it returns false, the
    /// request stays, and the turn goes to the next customer; a priority is finished once `start` has declined the first request of
    /// each of its customers in a row.
    void offer(std::function<bool(uint64_t)> const& start);

    /// Updates the estimates: a request of this service ended at an instance, `duration` after it was sent there.
    void on_completed(Core::Time now, Core::Duration duration);

    /// Mean time that a request takes at an instance; 0 until one has ended.
    Core::Duration expected_service() const;

    /// Expected wait of a request pushed now, behind all queued requests of the same and of more urgent priorities.
    Core::Duration expected_wait(int priority) const;

    size_t size() const { return m_positions.size(); }

private:
    /// The queued requests of one priority.
    struct Level {
        std::map<std::string, std::deque<uint64_t>> by_customer;
        // Customers with queued requests; the front one has the next turn.
        std::deque<std::string> turns;
        size_t size { 0 };
    };

    /// Number of queued requests of this priority and of more urgent ones.
    size_t count_ahead_of(int priority) const;

    size_t m_limit;
    std::map<int, Level> m_levels;
    // Priority and customer of each queued request.
    std::map<uint64_t, std::pair<int, std::string>> m_positions;
    // Mean time between completions in milliseconds; 0 while unknown.
    double m_mean_completion_interval_ms { 0 };
    double m_mean_service_ms { 0 };
    std::optional<Core::Time> m_last_completed;
    size_t m_completed_at_same_time { 0 };
};

}
