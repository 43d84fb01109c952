// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <optional>
#include <string>

namespace Distribution {

/// Decides when the engine beside the agent is ordered to load which weights, and what it may be said to serve.
///
/// An order goes out only for a set that is complete and verified, with a fence above every one seen:
/// those that the engine reports included, for the agent may have been restarted.
class EngineControl {
public:
    /// A load that may be ordered now.
    struct Order {
        int64_t fence { 0 };
        Schema::Weights weights;
    };

    /// The weights that the engine should serve; nothing if the instance is out of every rollout.
    /// `offset` is the configuration offset at which this was decided.
    void set_wanted(std::optional<Schema::Weights>, int64_t offset);

    /// The wanted set became complete and verified, or is no longer complete.
    void set_complete(std::string const& digest, bool is_complete);

    /// The engine answered a status call that was sent at `sent_at`.
    void on_status(Schema::EngineStatus const&, Core::Time sent_at);
    void on_unreachable();

    /// The engine's answer to an order: whether it took it.
    void on_order_answered(int64_t fence, bool is_accepted, Core::Time now);

    /// The order to send now, if any. `in_flight` counts requests that run on the engine: none is cut by a switch.
    std::optional<Order> step(Core::Time now, size_t in_flight, bool may_switch);

    /// What the engine serves for certain: it reported it after every order that was sent. Nothing while that is in doubt.
    std::optional<Schema::Weights> serving() const;

    /// True from the moment a switch is due until the order is answered: no request may start meanwhile.
    bool is_switching() const { return m_is_draining_for_switch || m_order_in_flight; }

    bool is_ready() const;
    int64_t fence() const { return m_fence; }
    uint64_t failed_orders() const { return m_failed_orders; }
    bool has_status() const { return m_status.has_value(); }
    Schema::EngineStatus const* status() const { return m_status ? &*m_status : nullptr; }

private:
    std::optional<Schema::Weights> m_wanted;
    int64_t m_offset { 0 };
    std::string m_complete_digest;
    std::optional<Schema::EngineStatus> m_status;
    int64_t m_fence { 0 };
    bool m_order_in_flight { false };
    bool m_is_draining_for_switch { false };
    // An order whose answer was lost may still be at work in the engine.
    bool m_is_in_doubt { false };
    uint64_t m_failed_orders { 0 };
    Core::Time m_not_before { 0 };
    Core::Time m_answered_at { 0 };
};

/// Whether an instance may take its copy out of service to switch versions.
/// Of the instances that a rollout has, at most `slack` of those ranked before this one may still be without
/// the new version: thus at least all but `slack` serve, the old version or the new.
bool may_switch(std::string const& self, std::vector<std::string> const& ranked, std::vector<std::string> const& ready, size_t slack);

/// How many copies of a rollout may be out of service at once during a switch: a quarter, at least one.
size_t switch_slack(size_t replicas);

}
