// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibTransport/MessageReader.h>
#include <functional>
#include <memory>
#include <string>

namespace Transport {

/// Why a call to a backend server brought no whole answer.
enum class CallFailure {
    /// Nobody listens there: the server's instance answered so, and nothing was run.
    Refused,
    /// Not one byte of the request was written: it was not run.
    NotConnected,
    /// The connection ended, or said nothing for too long, after the request was sent: it may have run.
    BrokenOff,
    /// What came back is no answer.
    Malformed,
};

struct BackendCallRequest {
    std::string address;
    uint16_t port { 0 };
    /// The request as it goes out, head and body.
    std::string bytes;
    BodyExpectation body_expectation { BodyExpectation::ByHead };
    /// Nothing is sent over a connection that is found only after this time, even if the process was paused meanwhile.
    Core::Duration connect_timeout { 1000 };
    /// Bytes sent that the peer does not acknowledge for this long end the connection.
    Core::Duration unacknowledged_timeout { 3000 };
};

/// One request to a backend server over a connection of its own, so that no earlier answer can be taken for its
/// answer, nothing is ever sent again, and a failed connect is known to have run nothing.
/// Dropping the object closes the connection without calling back.
class BackendCall {
public:
    struct Callbacks {
        std::function<void()> connected;
        std::function<void(MessageHead const&)> head;
        std::function<void(std::string_view)> data;
        std::function<void()> done;
        std::function<void(CallFailure)> failed;
    };

    static std::unique_ptr<BackendCall> start(Core::EventLoop&, BackendCallRequest, Callbacks);
    ~BackendCall();
    BackendCall(BackendCall const&) = delete;
    BackendCall& operator=(BackendCall const&) = delete;

private:
    class State;
    explicit BackendCall(std::shared_ptr<State>);

    std::shared_ptr<State> m_state;
};

}
