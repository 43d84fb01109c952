// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <optional>
#include <string>

namespace Distribution {

/// Decides when an agent orders its engine to load which weights, and which weights the engine is known to serve.
///
/// An order is sent only when all chunks of the weights are held and verified. Its fence is higher than every fence seen before,
/// including those in the engine's status: after a restart the agent does not know which fences it has used.
class EngineControl {
public:
    /// An order to load weights. The engine refuses an order whose fence is not higher than its last one.
    struct Order {
        int64_t fence { 0 };
        Schema::Weights weights;
    };

    /// Sets the weights that the engine should serve; std::nullopt if the instance belongs to no rollout.
    /// `offset` is the offset in the configuration log at which this was decided. Fences grow with it.
    void set_wanted(std::optional<Schema::Weights>, int64_t offset);

    /// Records whether all chunks of the weights with this digest are held and verified.
    void set_complete(std::string const& digest, bool is_complete);

    /// Records the engine's answer to a status request that was sent at `sent_at`. The status is ignored if it was requested before the
    /// last order was answered, or if an order is in flight.
    void on_status(Schema::EngineStatus const&, Core::Time sent_at);
    /// Discards the last status: the engine may have restarted with nothing loaded.
    void on_unreachable();

    /// Records whether the engine accepted the order with this fence. A lost answer is recorded as not accepted.
    /// The next order is sent a second later at the earliest.
    void on_order_answered(int64_t fence, bool is_accepted, Core::Time now);

    /// Returns the order to send now, or std::nullopt if there is none. `in_flight` is the number of requests that run on the engine:
    /// no order is returned before they have ended. An engine that serves something gets an order only if `may_switch` is true.
    std::optional<Order> step(Core::Time now, size_t in_flight, bool may_switch);

    /// Returns the weights that the engine reported after the last order was answered. Returns std::nullopt while an order is in flight,
    /// the engine is loading, or an order that was not accepted may still take effect.
    std::optional<Schema::Weights> serving() const;

    /// True from the time a switch is due until its order is answered. No request may be started on the engine during that time.
    bool is_switching() const { return m_is_draining_for_switch || m_order_in_flight; }

    /// Whether the engine serves the wanted weights.
    bool is_ready() const;
    /// The highest fence that was sent or reported.
    int64_t fence() const { return m_fence; }
    /// Number of orders that were refused or had no answer.
    uint64_t failed_orders() const { return m_failed_orders; }
    bool has_status() const { return m_status.has_value(); }
    /// The last accepted status, or nullptr if there is none since the last order was answered or the last status request
    /// failed.
    Schema::EngineStatus const* status() const { return m_status ? &*m_status : nullptr; }

private:
    std::optional<Schema::Weights> m_wanted;
    int64_t m_offset { 0 };
    std::string m_complete_digest;
    std::optional<Schema::EngineStatus> m_status;
    int64_t m_fence { 0 };
    bool m_order_in_flight { false };
    bool m_is_draining_for_switch { false };
    // An order that was not accepted may still take effect: its answer may have been lost.
    bool m_is_order_outcome_unknown { false };
    uint64_t m_failed_orders { 0 };
    Core::Time m_next_order_at { 0 };
    Core::Time m_order_answered_at { 0 };
};

/// Returns whether an instance may stop serving to switch to the rollout's new version.
/// `ranked` lists the rollout's instances in the order in which they switch, `ready` those that serve the new version.
/// Fewer than `max_switching` of the instances ranked before `self` may still be without the new version. Thus at most `max_switching`
/// instances are out of service at once, and all others serve either the old version or the new one.
/// An instance that is not in `ranked` may switch only when all in `ranked` are ready.
bool may_switch(std::string const& self, std::vector<std::string> const& ranked, std::vector<std::string> const& ready, size_t max_switching);

/// Returns how many of a rollout's instances may be out of service at once during a switch: a quarter, but at least one.
size_t max_instances_switching(size_t replicas);

}
