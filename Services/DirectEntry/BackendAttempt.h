// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "DeferredStatements.h"
#include <LibCore/Time.h>
#include <LibPlatform/RequestHeads.h>
#include <LibRouting/EventStreamSplitter.h>
#include <LibRouting/ReceiveTimeout.h>
#include <LibTransport/BackendCall.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace DirectEntry {

/// One attempt: a request sent to one backend server, and the part of the answer that was received.
class BackendAttempt : public std::enable_shared_from_this<BackendAttempt> {
public:
    /// The incarnation (one start of a backend server) that the request is sent to.
    struct Target {
        std::string id;
        std::string address;
        /// Version of the weights that it holds; 0 if it serves no model.
        int64_t version { 0 };
        /// Its start time, Unix milliseconds; std::nullopt if unknown.
        std::optional<int64_t> started_at_ms {};
    };

    /// One moment on two clocks.
    struct Moment {
        /// By the steady clock.
        Core::Time at { 0 };
        /// By the running-time clock, which leaves out pauses of the process.
        Core::Time running { 0 };
    };

    BackendAttempt(Target, Moment sent);

    Target const& target() const { return m_target; }
    /// The server's id and start time as `id@milliseconds`; just the id if the start time is unknown.
    std::string incarnation() const;

    /// The call in flight; null once the attempt is over.
    std::unique_ptr<Transport::BackendCall> call;
    /// Ends the call, without calling back.
    void end_call();

    Core::Time sent_at() const { return m_sent_at; }
    /// When bytes were last received, or the connection was established; the time of sending before that.
    Core::Time last_received_at() const { return m_last_received_at; }
    void on_bytes_received(Moment);
    /// Whether nothing was received from the server for `silence_limit`. To be called at most once in each iteration of the event loop:
    /// silence counts from the second call in a row on, as bytes that lay unread at the first have been read by then.
    bool check_silence(Core::Time running_now, Core::Duration silence_limit) { return m_silence.check_timeout(running_now, silence_limit); }
    /// Running time since bytes were last received, the call was sent or connected, or the request returned to this silent attempt,
    /// whichever is latest.
    Core::Duration silent_for(Core::Time running_now) const { return m_silence.elapsed(running_now); }

    bool is_connected() const { return m_is_connected; }
    void on_connected(Moment);

    /// Whether the head of the answer was received.
    bool has_head() const { return m_has_head; }
    /// The head of the answer; default values while has_head() is false.
    Platform::BackendHead const& answer_head() const { return m_answer_head; }
    void on_head(Platform::BackendHead, Transport::BodyEnd, Moment);
    /// How the end of the answer's body is known. A body that ends with its connection may have been cut off by a crash.
    Transport::BodyEnd body_end() const { return m_body_end; }

    /// What the head of the answer states about its server; null until it was received.
    std::unique_ptr<DeferredStatements> statements;

    /// Whether an event of this attempt's answer was delivered to the caller.
    bool has_delivered_event() const { return m_has_delivered_event; }
    void on_event_delivered() { m_has_delivered_event = true; }

    /// The body received so far, of an answer that is passed on as a whole.
    std::string body;
    /// Splits the body into events, of an answer that is passed on event by event.
    Routing::EventStreamSplitter events;

private:
    Target m_target;
    Core::Time m_sent_at;
    Core::Time m_last_received_at;
    Routing::ReceiveTimeout m_silence;
    bool m_is_connected { false };
    bool m_has_head { false };
    bool m_has_delivered_event { false };
    Platform::BackendHead m_answer_head;
    Transport::BodyEnd m_body_end { Transport::BodyEnd::Stated };
};

}
