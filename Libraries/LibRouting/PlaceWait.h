// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/AnswerDeadlines.h>
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

/// The requests of a service that wait at an entry for a place.
struct ServiceLine {
    explicit ServiceLine(size_t limit)
        : queue(limit)
    {
    }

    RequestQueue queue;
    SpareSlotInterval leftover;
    /// Requests in the queue that can only be late.
    size_t late { 0 };
};

/// The longest time after which a refused caller is asked to come back; also where nothing tells when there will be room.
inline constexpr Core::Duration longest_retry_after { 1500 };

/// How requests wait for a place.
struct WaitingPolicy {
    /// Requests that can still be in time go before those that can only be late.
    bool orders_by_timeliness { true };
    /// How much rarer places for late requests are than places, until it was seen.
    double leftover_factor { 3 };
};

/// What of a request decides how it waits, and for how long.
struct WaitingRequest {
    uint64_t number { 0 };
    std::string service;
    /// Empty where there is none.
    std::string customer;
    /// The lower, the more urgent.
    int64_t priority { 0 };
    int64_t prompt_tokens { 0 };
    /// As far as the caller expects.
    int64_t answer_tokens { 0 };
    AnswerDeadlines terms;
    /// When events went to the caller last, of a stream that was cut.
    std::optional<Core::Time> delivered_at {};
};

/// How one request waits at an entry for a place at a backend server: in which order, until when, and when its caller is to come
/// back if it is refused.
class PlaceWait {
public:
    /// All that is given outlives the wait.
    PlaceWait(ServerTable const&, WaitingPolicy const&, std::function<ServiceLine&(std::string const& service)> line);

    /// The request has found no place and is about to wait, or to be refused: it is taken for late from now on, or not.
    void begin(WaitingRequest const&, Core::Time now);
    /// @return false if the line is full, or the request would end after its deadline.
    bool join(WaitingRequest const&, Core::Time now);
    void leave();
    /// A place was found.
    void on_sent(Core::Time now);

    /// Whether a request that waits to be in time can no longer be.
    bool becomes_late(WaitingRequest const&, Core::Time now) const;
    /// Whether it is known by now that no place will come while the answer is still worth something.
    /// @param reason why the last try found no place.
    bool is_hopeless(WaitingRequest const&, NoServer reason, Core::Time now) const;
    /// When those that wait in front will have had their places, spread so that callers refused together come back apart.
    Core::Duration retry_after(std::string const& service, Core::Time now, std::mt19937_64& random) const;

    /// Logs what a refusal of the request rests on.
    void log_refusal(std::string const& id, WaitingRequest const&, Core::Time now) const;

private:
    /// Time that the answer takes at a full engine.
    Core::Duration service_time(WaitingRequest const&) const;
    Timeliness timeliness(WaitingRequest const&, Core::Time begins) const;

    ServerTable const& m_servers;
    WaitingPolicy m_policy;
    std::function<ServiceLine&(std::string const&)> m_line_of;
    // Null while it does not wait.
    ServiceLine* m_line { nullptr };
    uint64_t m_number { 0 };
    bool m_is_late { false };
};

}
