// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibTransport/HttpClient.h>
#include <functional>
#include <memory>
#include <string>

namespace Transport {

/// Asks one server again and again over a connection that is kept between the calls, and made anew once it has ended.
/// For reads alone: a call over a kept connection that ends without an answer may have run.
///
/// A connection that fails a call in any way, or brings bytes that nobody asked for, is given up with all that it may still
/// bring, so that no late answer is taken for the next one for long.
class KeptConnection {
public:
    using Callback = std::function<void(tl::expected<HttpAnswer, HttpFailure>)>;

    /// @param timeout longest silence before a call is given up, connecting included. A whole answer may take `total_timeout_factor` times
    /// as long.
    /// @param max_body_bytes longest body of an answer.
    KeptConnection(Core::EventLoop&, std::string address, uint16_t port, Core::Duration timeout, size_t max_body_bytes = default_max_body_bytes);
    /// Ends the call under way without calling back.
    ~KeptConnection();
    KeptConnection(KeptConnection const&) = delete;
    KeptConnection& operator=(KeptConnection const&) = delete;

    /// Reads a path. One call at a time; the callback comes from the loop.
    void get(std::string const& path, Callback);

    /// Gives the connection up, and a call under way without calling back: what it brought was no answer to go by.
    void reset();

private:
    void on_end(tl::expected<HttpAnswer, HttpFailure>);

    Core::EventLoop& m_loop;
    HttpCallRequest m_request;
    std::shared_ptr<HttpConnection> m_connection;
    // The call under way.
    Callback m_callback;
    HttpAnswer m_answer;
};

}
