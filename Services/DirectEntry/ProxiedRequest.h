// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "BackendAttempt.h"
#include "RequestContext.h"
#include "RequestSuspicion.h"
#include <LibPlatform/RequestHeads.h>
#include <LibRouting/AnswerDeadlines.h>
#include <LibRouting/AttemptPolicy.h>
#include <LibTransport/IngressServer.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace DirectEntry {

/// One caller's request, from its head to its single final answer.
///
/// The request is admitted or refused, waits for a slot at a backend server, and is sent there. If the attempt fails it is sent again
/// where that is allowed. An attempt whose server is silent (no bytes received for the silence limit) is kept while another server
/// is tried; the first attempt that continues the answer ends the others.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
    ProxiedRequest(RequestContext&, std::shared_ptr<Transport::IngressRequest>, uint64_t number);
    ~ProxiedRequest();
    ProxiedRequest(ProxiedRequest const&) = delete;
    ProxiedRequest& operator=(ProxiedRequest const&) = delete;

    /// Admits the request and sends or queues it, or refuses it at once.
    void begin();

    /// Sends the request if a backend server can be had for it now.
    /// @return false if there is none and the request still waits; true if it was sent or is over.
    bool try_send();

    /// Checks deadlines, silent servers and the time spent waiting. To be called every few tens of milliseconds.
    void tick(Core::Time now);

    /// The process is about to exit: refuses the request, or aborts its answer if part of it was delivered.
    void end_at_shutdown();

    /// The suspect with this key was blamed, as backend servers kept terminating while they ran it. Refuses this request if the key is
    /// one of its own.
    void on_blamed(std::string const& key);

    uint64_t number() const { return m_number; }
    Core::Time started() const { return m_started; }
    bool is_over() const { return m_phase == Phase::Over; }
    bool is_waiting() const { return m_phase == Phase::Waiting; }

private:
    enum class Phase {
        Admitting,
        Waiting,
        Sent,
        /// The answer broke off, or ended only with its connection, and a connection attempt determines whether the server has terminated.
        CheckingServer,
        Over,
    };

    /// Finds the route and customer by the configuration; refuses the request and returns false if it is not admitted.
    bool admit();
    void refuse_denied(Routing::RouteDenial);
    void set_terms();
    /// What forbids to send the request to any server now.
    std::optional<Routing::NoServer> obstacle_to_sending(Core::Time now);
    /// Sends to a server that is predicted to begin the answer within the route's objective.
    bool try_send_in_time(Core::Time now);
    /// Sends without that condition, once the objective can no longer be met.
    bool try_send_late(Core::Time now);
    void count_late(char const* reason);
    void set_late(char const* reason, Core::Time now);
    /// Joins the queue of the service, or refuses the request if waiting is hopeless or the queue is full.
    void wait_for_slot();
    Routing::WaitingRequest waiting() const;
    void check_waiting(Core::Time now);
    void refuse_waiting(Core::Time now);
    /// Whether the attempt is to be repeated because the server holds too old a version and has not begun to answer.
    bool is_outdated(BackendAttempt const&, Core::Time now) const;
    Routing::ServerRequirements requirements();
    std::set<std::string> tried_servers() const;
    void send_to(Routing::ServerChoice const&, Core::Time now);
    void start_call(Platform::BackendRequestFields const&);
    void end_call();
    BackendAttempt::Moment moment(Core::Time now) const;

    void on_head(BackendAttempt&, Transport::MessageHead const&);
    void on_data(BackendAttempt&, std::string_view);
    void on_done(BackendAttempt&);
    void on_failed(BackendAttempt&, Transport::CallFailure);
    /// What an answer is that ended together with its connection or was ended here, if its server turns out not to have terminated.
    enum class AnswerUnlessTerminated {
        BrokenOff,
        Malformed,
        Whole,
    };

    /// Passes on the end of an answer that is known to be whole.
    void complete_answer(BackendAttempt&);
    /// Checks whether the server terminated; on_server_checked() then ends the attempt.
    void on_broken_off(BackendAttempt&);
    void check_server(BackendAttempt&, AnswerUnlessTerminated);
    void on_server_checked(BackendAttempt&, AnswerUnlessTerminated, bool has_terminated);
    void pass_events(BackendAttempt&, std::string_view);
    void deliver(BackendAttempt&, std::string const& events);
    void pass_whole_answer(BackendAttempt&);
    /// Whether the answer has a success status, carries the backend server's own mark and belongs to this request.
    bool is_trusted_success(BackendAttempt const&) const;
    void on_failure_status(BackendAttempt&);

    bool is_current(BackendAttempt const& attempt) const { return m_attempt.get() == &attempt; }
    bool is_silent(BackendAttempt const&) const;
    /// Keeps the current attempt as silent and tries another server.
    void try_beside_silent(Core::Time now);
    /// Makes the attempt the current one and ends all others.
    void select_attempt(BackendAttempt&);
    /// Makes the last silent attempt the current one again. @return false if there is none with an open call.
    bool return_to_silent_attempt();
    void end_silent_attempts();
    void end_silent_attempt(BackendAttempt&, Routing::AttemptOutcome, Routing::ServerOutcome);
    void end_outdated_silent_attempts(Core::Time now);

    /// Updates the counters of attempts.
    void count_outcome(Routing::AttemptOutcome);
    /// Ends the attempt and takes the next step: another attempt, a refusal, or an aborted answer.
    void end_attempt(BackendAttempt&, Routing::AttemptOutcome, Routing::ServerOutcome);
    /// Frees the slot of the current attempt and records how the server did.
    void report_server_outcome(Routing::ServerOutcome, Core::Time now);
    bool is_at_server() const { return m_phase == Phase::Sent || m_phase == Phase::CheckingServer; }
    Routing::RequestContent content() const;
    bool refuse_if_blamed();
    bool refuse_if_too_late_to_send();
    Routing::AttemptState attempt_state(Core::Time now) const;
    void take_step(Routing::NextStep, Routing::AttemptOutcome);
    void refuse_not_run();
    void send_again();

    void record_refused_caller();
    /// Answers with a problem document; only while nothing was delivered.
    void refuse(int status, Refusal, std::optional<Core::Duration> retry_after);
    /// Aborts an answer that was delivered in part, so that the caller notices.
    void abort_answer(Refusal);
    /// Counts and logs the end of the request, and releases all that it holds.
    void finish(Refusal, int status);

    Core::Time deadline() const { return m_started + m_time_allowed; }
    bool is_stream() const { return m_route.kind == Schema::RouteKind::Stream; }

    RequestContext& m_context;
    std::shared_ptr<Transport::IngressRequest> m_caller;
    uint64_t m_number;
    Phase m_phase { Phase::Admitting };
    Core::Time m_started;
    Core::Duration m_time_allowed { 0 };
    Platform::CallerHead m_head;
    Schema::Route m_route {};
    std::string m_service;
    std::optional<std::string> m_customer;
    int64_t m_priority { 0 };
    int64_t m_configuration_version { 0 };

    // The current attempt, or the last one; null before the first.
    std::shared_ptr<BackendAttempt> m_attempt;
    // Attempts at silent servers, kept while another server is tried: the first whose answer continues ends the others.
    std::vector<std::shared_ptr<BackendAttempt>> m_silent_attempts;

    // Over all attempts:
    // Backend servers that it was sent to, each with the start time of the last incarnation that was tried, Unix milliseconds.
    std::map<std::string, std::optional<int64_t>> m_tried_servers;
    // Attempts that reached a server, without those that the server reported as not run and those whose server terminated.
    int64_t m_counted_attempts { 0 };
    // Attempts that ended as not connected or not run.
    int64_t m_unrun_attempts { 0 };
    // Attempts at servers that terminated meanwhile.
    int64_t m_terminated_servers { 0 };
    RequestSuspicion m_suspicion;
    bool m_may_have_run { false };
    bool m_has_delivered { false };
    std::optional<int64_t> m_last_event;
    // When the caller first sent this request, also to another entry that refused it, as far as is known.
    Core::Time m_first_requested_at { 0 };
    Routing::PrefillAllowance m_prefill_allowance;
    Routing::AnswerDeadlines m_terms;
    Routing::SlotWait m_wait;
    // Why no backend server could be chosen last.
    Routing::NoServer m_no_server { Routing::NoServer::NoneUsable };
    std::optional<Core::Duration> m_first_event_after;
    // When events were last delivered to the caller, by the steady clock.
    Core::Time m_delivered_at { 0 };
    // The same by the running-time clock, which leaves out pauses of the process.
    Core::Time m_delivered_at_running { 0 };
    // Longest time between two deliveries.
    Core::Duration m_longest_pause { 0 };
};

}
