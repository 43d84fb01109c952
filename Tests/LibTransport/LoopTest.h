// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibTransport/SocketAddress.h>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

/// A test that runs a loop until something has happened; the deadline only ends a hang.
class LoopTest : public testing::Test {
protected:
    static constexpr Core::Duration hang { 30000 };

    void run_until(std::function<bool()> const& condition)
    {
        auto const poll = m_loop.every(Core::Duration(1), [&] {
            if (condition())
                m_loop.stop();
        });
        bool is_hanging = false;
        auto const guard = m_loop.after(hang, [&] {
            is_hanging = true;
            m_loop.stop();
        });
        m_loop.run();
        ASSERT_FALSE(is_hanging);
    }

    void run_for(Core::Duration duration)
    {
        bool is_over = false;
        auto const timer = m_loop.after(duration, [&] { is_over = true; });
        run_until([&] { return is_over; });
    }

    Core::EventLoop m_loop;
};

/// A plain socket to a loopback port, for what no HTTP library would send.
class RawClient {
public:
    explicit RawClient(uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto target = Transport::socket_address("127.0.0.1", port);
        EXPECT_EQ(connect(m_socket, reinterpret_cast<sockaddr const*>(&target), sizeof(target)), 0);
    }

    ~RawClient() { close_now(); }
    RawClient(RawClient const&) = delete;
    RawClient& operator=(RawClient const&) = delete;

    void send_text(std::string const& text) { EXPECT_EQ(send(m_socket, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size())); }

    /// Adds what has arrived; true once the peer has closed.
    bool read_more()
    {
        char buffer[4096];
        for (;;) {
            auto const count = recv(m_socket, buffer, sizeof(buffer), MSG_DONTWAIT);
            if (count > 0) {
                m_text.append(buffer, static_cast<size_t>(count));
                continue;
            }
            if (count == 0)
                return true;
            m_was_reset = m_was_reset || errno == ECONNRESET;
            return m_was_reset;
        }
    }

    std::string const& text() const { return m_text; }
    bool was_reset() const { return m_was_reset; }

    void close_now()
    {
        if (m_socket >= 0)
            close(std::exchange(m_socket, -1));
    }

private:
    int m_socket;
    std::string m_text;
    bool m_was_reset { false };
};
