// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/KeptConnection.h>

#include <utility>

namespace Transport {

KeptConnection::KeptConnection(Core::EventLoop& loop, std::string address, uint16_t port, Core::Duration timeout, size_t max_body_bytes)
    : m_loop(loop)
{
    m_request.address = std::move(address);
    m_request.port = port;
    m_request.timeout = timeout;
    m_request.total_timeout = timeout * total_timeout_factor;
    m_request.max_body_bytes = max_body_bytes;
}

KeptConnection::~KeptConnection()
{
    reset();
}

void KeptConnection::reset()
{
    m_callback = {};
    if (auto const connection = std::exchange(m_connection, nullptr))
        connection->close();
}

void KeptConnection::get(std::string const& path, Callback callback)
{
    // Whoever asks anew waits for the last call no longer, and bytes that came behind its answer would be read as the next one.
    if (m_connection && !m_connection->can_send_again())
        reset();
    if (!m_connection)
        m_connection = std::make_shared<HttpConnection>(m_loop);
    m_request.path = path;
    m_callback = std::move(callback);
    m_answer = {};
    m_connection->send(m_request, ConnectionUse::Again,
        { .head = [this](MessageHead const& head) {
             m_answer.status = head.status;
             m_answer.headers = head.headers; },
            .data = [this](std::string_view data) { m_answer.body += data; },
            .done = [this] { on_end(std::exchange(m_answer, {})); },
            .failed = [this](HttpFailure failure) { on_end(tl::unexpected(failure)); } });
}

void KeptConnection::on_end(tl::expected<HttpAnswer, HttpFailure> answer)
{
    // The callback may ask for the next answer, or give the connection up.
    auto const callback = std::exchange(m_callback, {});
    callback(std::move(answer));
}

}
