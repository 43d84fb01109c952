// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/AnswerAssembly.h>
#include <LibRouting/InstanceTable.h>
#include <LibRouting/Limits.h>
#include <LibSchema/Generated.h>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Routing {

// The actions that RequestFlow asks its owner to perform.

/// Choose an instance, or queue the request until one is available.
struct NeedInstance { };

/// Tell the agent at `instance` to cancel an attempt.
struct SendCancel {
    std::string instance;
    std::string attempt;
};

/// Ask the agent at `instance` to continue an attempt's answer from the part `next_sequence`, over a link that is up again.
struct SendResume {
    std::string instance;
    std::string attempt;
    int64_t next_sequence { 0 };
};

/// Tell the agent at `instance` that every part of the answer below `next_sequence` was received.
struct SendAcknowledge {
    std::string instance;
    std::string attempt;
    int64_t next_sequence { 0 };
};

/// Send a part to the caller. Parts are delivered in order; part 0 holds the status and headers.
struct Deliver {
    Schema::Part part;
};

/// End the answer to the caller: every part was delivered.
struct EndAnswer { };

/// Abort the answer, of which a part was delivered, in such a way that the caller notices that it is incomplete.
struct AbortAnswer {
    Schema::Reason reason;
};

/// Answer with an error: no part of an answer was delivered. `outcome` says whether the request may have run.
struct AnswerWithError {
    Schema::Outcome outcome;
    Schema::Reason reason;
    /// How long the caller should wait before it retries.
    Core::Duration retry_after { 0 };
};

/// Record that an attempt at `instance` has ended, and how.
struct AttemptOver {
    std::string instance;
    InstanceOutcome outcome;
    Schema::Reason reason;
    /// Another instance is chosen for the request.
    bool is_retried { false };
};

using FlowAction = std::variant<NeedInstance, SendCancel, SendResume, SendAcknowledge, Deliver, EndAnswer, AbortAnswer, AnswerWithError, AttemptOver>;
using FlowActions = std::vector<FlowAction>;

struct FlowSettings {
    /// How long an agent may take to accept or refuse a repeatable request before it is sent elsewhere.
    Core::Duration accept_timeout { 1000 };
    /// How long a request waits for a lost link to be connected again.
    Core::Duration resume_timeout { 3000 };
    size_t max_attempts { 4 };
    /// Number of parts after which the answer is acknowledged again.
    int64_t parts_per_acknowledgement { 16 };
};

/// The state machine of one caller's request at an entry: its attempts, of which at most one is current, and its single final answer.
/// Each function reports an event and returns the actions that the owner has to perform, in order.
///
/// A repeatable request is sent to another instance after a failure, as long as no part of an answer was delivered to the caller. Any other
/// request is sent again only if the agent refused it or the link did not accept it, so that it cannot have run. Messages for an
/// attempt that is no longer current are ignored.
class RequestFlow {
public:
    RequestFlow(Schema::Repeatability, Core::Time deadline, FlowSettings, RetryBudget&);

    /// Counts the request in the retry budget and asks for an instance.
    FlowActions start();

    /// The request was sent over the link to the agent of `instance`, whose current incarnation is given, as `attempt`.
    void on_dispatched(std::string const& instance, int64_t incarnation, std::string const& attempt, Core::Time now);
    /// The link did not accept the request, so it was not run there.
    FlowActions on_not_dispatched(std::string const& instance);
    /// No instance is available, and the request cannot or should not wait for one: ends the request.
    FlowActions on_no_instance(Schema::Reason, Core::Duration retry_after);

    /// The agent accepted the attempt: it runs the request.
    FlowActions on_accepted(std::string const& attempt);
    /// The agent refused the attempt: it has not run the request.
    FlowActions on_refused(std::string const& attempt, Schema::Reason, Core::Duration retry_after);
    /// The attempt failed after the agent had accepted it, or the agent did not accept it because a request with its key runs or may
    /// have run before: the request may have run.
    FlowActions on_broken(std::string const& attempt, Schema::Reason);
    /// A part of an answer was received. Parts may be repeated and out of order.
    FlowActions on_part(Schema::Part);
    FlowActions on_link_down(std::string const& instance, Core::Time now);
    /// The link is up again. If the instance has another incarnation now, the attempt is lost.
    FlowActions on_link_up(std::string const& instance, int64_t incarnation);
    FlowActions on_caller_gone();
    /// This process is about to end: cancels the attempt and ends the request.
    FlowActions on_shutdown();
    /// Checks the deadline and the timeouts of FlowSettings.
    FlowActions on_tick(Core::Time now);

    bool is_over() const { return m_phase == Phase::Over; }
    /// Whether the request has no current attempt and needs an instance.
    bool is_choosing() const { return m_phase == Phase::Choosing; }
    /// Whether an attempt that is over may have run.
    bool may_have_run() const { return m_may_have_run; }
    /// Instances that failed or refused an attempt, or whose link did not accept it; the next instance should be another one.
    std::set<std::string> const& excluded() const { return m_excluded; }
    std::string const& attempt() const { return m_attempt; }
    std::string const& instance() const { return m_instance; }
    size_t attempts() const { return m_attempts; }
    Core::Time deadline() const { return m_deadline; }

private:
    enum class Phase {
        Choosing,
        Dispatched,
        LinkDown,
        Over,
    };

    bool is_current(std::string const& attempt) const;
    bool may_repeat() const;
    FlowActions retry_or_end_with(Schema::Reason, InstanceOutcome, FlowAction final_action, bool is_charged_to_budget);
    FlowActions end_with(FlowAction last, std::optional<InstanceOutcome>, Schema::Reason);
    FlowActions give_up(Schema::Reason, InstanceOutcome);
    FlowActions fail_attempt(Schema::Reason, InstanceOutcome);
    FlowAction failure_action(Schema::Reason) const;

    Schema::Repeatability m_repeatability;
    Core::Time m_deadline;
    FlowSettings m_settings;
    RetryBudget& m_budget;

    Phase m_phase { Phase::Choosing };
    std::string m_attempt;
    std::string m_instance;
    int64_t m_incarnation { 0 };
    size_t m_attempts { 0 };
    bool m_is_accepted { false };
    bool m_has_delivered { false };
    bool m_has_server_error { false };
    // An attempt was abandoned although the agent had not refused it.
    bool m_may_have_run { false };
    Core::Time m_dispatched_at { 0 };
    Core::Time m_link_down_at { 0 };
    int64_t m_acknowledged { 0 };
    AnswerAssembly m_assembly;
    std::set<std::string> m_excluded;
};

}
