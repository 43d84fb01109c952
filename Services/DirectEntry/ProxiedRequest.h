// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "RequestContext.h"
#include "ServerSend.h"
#include "SuspectedRequest.h"
#include <LibPlatform/RequestHeads.h>
#include <LibRouting/AnswerTerms.h>
#include <LibRouting/AttemptPolicy.h>
#include <LibTransport/IngressServer.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace DirectEntry {

/// One caller's request, from its head to its single final answer. It reads from top to bottom:
/// admitted, waiting for a place, sent, answered, or sent again; and then over.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
    ProxiedRequest(RequestContext&, std::shared_ptr<Transport::IngressRequest>, uint64_t number);
    ~ProxiedRequest();
    ProxiedRequest(ProxiedRequest const&) = delete;
    ProxiedRequest& operator=(ProxiedRequest const&) = delete;

    /// Admits the request, or refuses it at once.
    void begin();

    /// Offered a place: sends it if there is a backend server for it now.
    /// @return false if there is none.
    bool try_send();

    /// Looks at the time: deadlines, silence, waiting too long.
    void tick(Core::Time now);

    /// The process ends: what is not over by now is broken off.
    void give_up();

    /// A request is blamed for ending servers: if it is this one, it ends now.
    void on_blamed(std::string const& digest);

    uint64_t number() const { return m_number; }
    bool is_over() const { return m_phase == Phase::Over; }

private:
    enum class Phase {
        Admitting,
        Waiting,
        Sent,
        /// The answer broke off, and the server is asked whether it has ended.
        Asking,
        Over,
    };

    bool admit();
    void refuse_denied(Routing::RouteDenial);
    void set_terms();
    bool try_send_in_time(Core::Time now);
    bool try_send_late(Core::Time now);
    void wait_for_place();
    Routing::WaitingRequest waiting() const;
    void check_waiting(Core::Time now);
    void refuse_waiting(Core::Time now);
    bool is_outdated(ServerSend const&, Core::Time now) const;
    Routing::ServerNeeds needs();
    std::set<std::string> tried_servers() const;
    void send_to(Routing::ServerChoice const&, Core::Time now);
    void start_call(Platform::BackendRequestFields const&);
    void end_call();
    ServerSend::Moment moment(Core::Time now) const;

    void on_data(ServerSend&, std::string_view);
    void on_done(ServerSend&);
    void on_failed(ServerSend&, Transport::CallFailure);
    void on_broken_off(ServerSend&);
    void on_asked(ServerSend&, bool has_ended);
    void pass_events(ServerSend&, std::string_view);
    void deliver(ServerSend&, std::string const& events);
    void pass_whole_answer(ServerSend&);
    bool is_trusted_success(ServerSend const&) const;
    void on_failure_status(ServerSend&);

    bool is_current(ServerSend const& send) const { return m_send.get() == &send; }
    bool is_silent(ServerSend const&) const;
    void look_beside_silent(Core::Time now);
    void go_on_with(ServerSend&);
    bool return_to_silent();
    void leave_silent();
    void end_silent_send(ServerSend&, Routing::SendEnd, Routing::ServerOutcome);
    void drop_outdated_silent(Core::Time now);

    void count_end(Routing::SendEnd);
    void end_send(ServerSend&, Routing::SendEnd, Routing::ServerOutcome);
    void leave_server(Routing::ServerOutcome, Core::Time now);
    bool is_at_server() const { return m_phase == Phase::Sent || m_phase == Phase::Asking; }
    Routing::RequestContent content() const;
    bool refuse_if_blamed();
    Routing::AttemptState attempt_state(Core::Time now) const;
    void take_step(Routing::NextStep, Routing::SendEnd);
    void refuse_not_run();
    void send_again();

    void remember_caller();
    void refuse(int status, Refusal, std::optional<Core::Duration> retry_after);
    void break_off(Refusal);
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

    // The send under way, or the last one; null before the first.
    std::shared_ptr<ServerSend> m_send;
    // Sends whose servers fell silent while another one is looked for: the first whose answer goes on ends the others.
    std::vector<std::shared_ptr<ServerSend>> m_silent;

    // Over all sends.
    // Backend servers that it was sent to, each with the start of the last such incarnation.
    std::map<std::string, std::optional<int64_t>> m_tried;
    int64_t m_sends { 0 };
    int64_t m_misses { 0 };
    // Sends to servers that ended.
    int64_t m_ended_servers { 0 };
    SuspectedRequest m_suspected;
    bool m_may_have_run { false };
    bool m_has_delivered { false };
    std::optional<int64_t> m_last_event;
    std::optional<Core::Duration> m_server_retry_after;
    // When the caller first asked, as far as is known.
    Core::Time m_first_asked { 0 };
    Routing::AnswerTerms m_terms;
    Routing::PlaceWait m_wait;
    // Why the last try found no backend server.
    Routing::NoServer m_no_server { Routing::NoServer::NoneUsable };
    std::optional<Core::Duration> m_first_event_after;
    // When events went to the caller last, and the longest time between two of these moments.
    Core::Time m_delivered_at { 0 };
    // The former by the clock that leaves out the time in which the process stood still.
    Core::Time m_delivered_running { 0 };
    Core::Duration m_longest_pause { 0 };
};

}
