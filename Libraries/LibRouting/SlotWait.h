// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/AnswerDeadlines.h>
#include <LibRouting/PrefillAllowance.h>
#include <LibRouting/RequestQueue.h>
#include <LibRouting/ServerTable.h>
#include <LibRouting/SpareSlotInterval.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace Routing {

/// Requests of one service that wait at an entry for a free slot at a backend server. A request is late if its answer can't begin
/// within the route's objective any more (see AnswerDeadlines::in_time_until).
struct ServiceQueue {
    explicit ServiceQueue(size_t limit)
        : queue(limit)
    {
    }

    RequestQueue queue;
    /// Measures how often late requests get a slot.
    SpareSlotInterval late_slot_interval;
    /// Number of late requests in the queue.
    size_t late_count { 0 };
};

/// Upper limit of the time after which a refused caller is asked to retry. Also used where the entry can't estimate when a slot
/// becomes free.
inline constexpr Core::Duration max_retry_after { 1500 };

/// The same where the limits of servers decide when a request can be sent. A rest that ends later is waited for.
inline constexpr Core::Duration max_retry_after_under_limits { 10000 };

/// Settings for requests that wait for a slot.
struct WaitingPolicy {
    /// Whether requests that can still be answered in time go before late ones.
    bool orders_by_timeliness { true };
    /// Assumed ratio of the interval between slots for late requests to the interval between all slots, until the former was observed.
    double leftover_factor { 3 };
};

/// The properties of a request that determine its order in the queue and how long it waits.
struct WaitingRequest {
    /// Identifies the request in the RequestQueue.
    uint64_t number { 0 };
    std::string service;
    /// Empty if the request belongs to no customer.
    std::string customer;
    /// A lower value is more urgent.
    int64_t priority { 0 };
    int64_t prompt_tokens { 0 };
    /// Length of the answer that the caller expects.
    int64_t answer_tokens { 0 };
    /// Prefill by which has_become_late() judges, whatever the length of this request's own prompt.
    PrefillAllowance prefill_allowance;
    AnswerDeadlines terms;
    /// When the caller last received events; std::nullopt unless this request resumes a stream that broke off.
    std::optional<Core::Time> delivered_at {};
};

/// The wait of one request at an entry for a free slot at a backend server. Determines the request's order in the queue, when
/// waiting has become pointless, and after which time a refused caller should retry.
class SlotWait {
public:
    /// The table and what `service_queue` refers to must outlive this object.
    /// @param service_queue returns the queue of a service.
    SlotWait(ServerTable const&, WaitingPolicy const&, std::function<ServiceQueue&(std::string const& service)> service_queue);

    /// Call when no slot was found for a request, before join() or should_refuse(). Determines whether the request is late; this
    /// stays fixed until the next call.
    void begin(WaitingRequest const&, Core::Time now);
    /// Adds the request to its service's queue.
    /// @return false if the queue is full, or the request is expected to end after its deadline.
    bool join(WaitingRequest const&, Core::Time now);
    /// Removes the request from the queue, if it is there.
    void leave();
    /// The request got a slot: records this for the estimates, and removes it from the queue.
    void on_sent(Core::Time now);

    /// Whether a request that was not late at begin() can no longer be answered in time: not even the least time to a first event fits.
    /// Always false for a resumed stream.
    bool has_become_late(WaitingRequest const&, Core::Time now) const;
    /// Whether the request should be refused, as no slot is expected to become free early enough to answer it before its deadline. A
    /// resumed stream should be refused once its caller has received nothing for 2 seconds.
    /// @param reason why ServerTable::choose() found no backend server.
    bool should_refuse(WaitingRequest const&, NoServer reason, Core::Time now) const;
    /// Time after which a refused caller should retry: the expected time until all waiting requests and one more have got a slot, and up
    /// to as long again, but at most 5 seconds, by chance, so that callers refused together don't return together. It is clamped to 200 to
    /// 1500 milliseconds. If the reason is NoServer::Limited, it is at most 10 seconds, or up to 5 seconds after the first rest has ended
    /// if all servers rest.
    Core::Duration retry_after(std::string const& service, NoServer reason, Core::Time now, std::mt19937_64& random) const;

    /// Logs the figures on which the refusal of the request is based.
    /// @param reason why ServerTable::choose() found no backend server.
    void log_refusal(std::string const& id, WaitingRequest const&, NoServer reason, Core::Time now) const;

private:
    /// Time that the request takes at a full engine.
    Core::Duration service_time(WaitingRequest const&, Core::Time now) const;
    Timeliness timeliness(WaitingRequest const&, Core::Time begins, Core::Time now) const;
    /// Expected time until this entry can have sent `count` requests to the service.
    Core::Duration expected_wait(std::string const& service, NoServer reason, size_t count, Core::Time now) const;

    ServerTable const& m_servers;
    WaitingPolicy m_policy;
    std::function<ServiceQueue&(std::string const&)> m_queue_of;
    // Null while the request is not in a queue.
    ServiceQueue* m_queue { nullptr };
    uint64_t m_number { 0 };
    bool m_is_late { false };
};

}
