// SPDX-License-Identifier: BSD-2-Clause
#pragma once

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

/// One send of a request to a backend server, and what came back of it.
class ServerSend : public std::enable_shared_from_this<ServerSend> {
public:
    /// The incarnation that the request is sent to.
    struct Target {
        std::string id;
        std::string address;
        /// Version that it holds; 0 for a plain service.
        int64_t version { 0 };
        /// Its start, Unix milliseconds, if that is known.
        std::optional<int64_t> started_at_ms {};
    };

    /// A moment by the steady clock, and by the one that leaves out the time in which the process stood still.
    struct Moment {
        Core::Time at { 0 };
        Core::Time running { 0 };
    };

    ServerSend(Target, Moment sent);

    Target const& target() const { return m_target; }
    /// Names the one start of the server that it was sent to.
    std::string incarnation() const;

    /// The call, until the send is over.
    std::unique_ptr<Transport::BackendCall> call;

    Core::Time sent_at() const { return m_sent_at; }
    Core::Time heard_at() const { return m_heard_at; }
    void on_received(Moment);
    /// Looks once a turn of the loop whether the server has said nothing for `patience`.
    bool look_for_silence(Core::Time running_now, Core::Duration patience) { return m_silence.check_timeout(running_now, patience); }
    Core::Duration silent_for(Core::Time running_now) const { return m_silence.elapsed(running_now); }

    bool is_connected() const { return m_is_connected; }
    void on_connected(Moment);

    bool has_head() const { return m_has_head; }
    Platform::BackendHead const& answer() const { return m_answer; }
    void on_head(Platform::BackendHead, Moment);

    /// Whether an event of it went to the caller: its answer has begun.
    bool has_event() const { return m_has_event; }
    void on_event() { m_has_event = true; }

    /// What came of an answer that is passed on whole.
    std::string body;
    /// What came of an answer that is passed on event by event.
    Routing::EventStreamSplitter events;

private:
    Target m_target;
    Core::Time m_sent_at;
    Core::Time m_heard_at;
    Routing::ReceiveTimeout m_silence;
    bool m_is_connected { false };
    bool m_has_head { false };
    bool m_has_event { false };
    Platform::BackendHead m_answer;
};

}
