// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Transport {

/// Frames messages as binary WebSocket messages (RFC 6455) over bytes that somebody else carries.
/// websocketpp stays behind this header, because it compiles as C++17 only.
class WebSocketCodec {
public:
    enum class Side {
        Client,
        Server,
    };

    struct Callbacks {
        /// Bytes that must go to the peer.
        std::function<void(std::string_view)> output;
        std::function<void()> opened;
        std::function<void(std::string_view)> message;
        /// The peer closed, or broke the protocol.
        std::function<void()> closed;
    };

    /// `max_message_bytes` bounds a message received; a larger one closes the connection.
    WebSocketCodec(Side, size_t max_message_bytes, Callbacks);
    ~WebSocketCodec();

    /// Starts the opening handshake.
    void start();

    /// Takes bytes that came from the peer.
    void receive(std::string_view bytes);

    /// Sends one binary message; false if the connection is not open.
    bool send(std::string_view payload);

    class Implementation;

private:
    std::unique_ptr<Implementation> m_implementation;
};

}
