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

/// Choose an instance, or queue until there is one.
struct NeedInstance { };

struct SendCancel {
    std::string instance;
    std::string attempt;
};

struct SendResume {
    std::string instance;
    std::string attempt;
    int64_t next_sequence { 0 };
};

struct SendAcknowledge {
    std::string instance;
    std::string attempt;
    int64_t next_sequence { 0 };
};

/// Pass a part on to the caller; they come in order, part 0 with the head of the answer.
struct Deliver {
    Schema::Part part;
};

/// The answer is whole.
struct FinishAnswer { };

/// Break the answer off, visibly: part of it has gone to the caller.
struct BreakOff {
    Schema::Reason reason;
};

/// Nothing has gone to the caller: tell it what is known, now.
struct GiveUp {
    Schema::Outcome outcome;
    Schema::Reason reason;
    Core::Duration retry_after { 0 };
};

/// An attempt is over, as far as the instance is concerned.
struct AttemptOver {
    std::string instance;
    InstanceOutcome outcome;
    Schema::Reason reason;
    bool is_retried { false };
};

using FlowAction = std::variant<NeedInstance, SendCancel, SendResume, SendAcknowledge, Deliver, FinishAnswer, BreakOff, GiveUp, AttemptOver>;
using FlowActions = std::vector<FlowAction>;

struct FlowSettings {
    /// Wait for an agent's word that it admitted or refused a repeatable request.
    Core::Duration accept_wait { 1000 };
    /// Wait for a dropped link to come back.
    Core::Duration resume_wait { 3000 };
    size_t most_attempts { 4 };
    /// Parts between two acknowledgements.
    int64_t parts_per_acknowledgement { 16 };
};

/// One caller's request at an entry: its attempts, one after another, and its single final answer.
///
/// A repeatable request is tried elsewhere until its first byte has gone to the caller. Any other is tried
/// again only after an explicit word that it was not run. Whatever an abandoned attempt still sends is dropped.
class RequestFlow {
public:
    RequestFlow(Schema::Repeatability, Core::Time deadline, FlowSettings, RetryBudget&);

    FlowActions start();

    /// The dispatch was handed to the instance's link.
    void on_dispatched(std::string const& instance, int64_t incarnation, std::string const& attempt, Core::Time now);
    /// The link took nothing: it was not run there.
    FlowActions on_not_dispatched(std::string const& instance);
    /// No instance can be had, and waiting for one is not worth it.
    FlowActions on_no_instance(Schema::Reason, Core::Duration retry_after);

    FlowActions on_accepted(std::string const& attempt);
    FlowActions on_refused(std::string const& attempt, Schema::Reason, Core::Duration retry_after);
    FlowActions on_broken(std::string const& attempt, Schema::Reason);
    FlowActions on_part(Schema::Part);
    FlowActions on_link_down(std::string const& instance, Core::Time now);
    FlowActions on_link_up(std::string const& instance, int64_t incarnation);
    FlowActions on_caller_gone();
    FlowActions on_tick(Core::Time now);

    bool is_over() const { return m_phase == Phase::Over; }
    bool is_choosing() const { return m_phase == Phase::Choosing; }
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
    FlowActions retry_or(Schema::Reason, InstanceOutcome, FlowAction otherwise, bool costs_budget);
    FlowActions end_with(FlowAction last, std::optional<InstanceOutcome>, Schema::Reason);
    FlowActions fail_attempt(Schema::Reason, InstanceOutcome);
    FlowAction failure_answer(Schema::Reason) const;

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
    // Some attempt was given up on without a word that it was not run.
    bool m_may_have_run { false };
    Core::Time m_dispatched_at { 0 };
    Core::Time m_link_down_at { 0 };
    int64_t m_acknowledged { 0 };
    AnswerAssembly m_assembly;
    std::set<std::string> m_excluded;
};

}
