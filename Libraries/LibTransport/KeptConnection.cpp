// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/KeptConnection.h>

#include <LibTransport/AnswerLimits.h>
#include <LibTransport/EvhttpAnswer.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <utility>

namespace Transport {

/// Outlives its connection until libevent has finished with it.
struct KeptConnection::Call {
    KeptConnection* owner { nullptr };
    Callback callback;
    std::string path;
    HttpFailure failure { HttpFailure::NotConnected };
    bool has_ended { false };
    int interim_answers { 0 };
};

KeptConnection::KeptConnection(Core::EventLoop& loop, std::string address, uint16_t port, Core::Duration timeout, size_t max_body_bytes)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_port(port)
    , m_timeout(timeout)
    , m_max_body_bytes(max_body_bytes)
{
}

KeptConnection::~KeptConnection()
{
    reset();
}

void KeptConnection::connect()
{
    m_connection = evhttp_connection_base_new(m_loop.base(), nullptr, m_address.c_str(), m_port);
    auto const timeout = Core::to_timeval(m_timeout);
    evhttp_connection_set_timeout_tv(m_connection, &timeout);
    limit_answer(m_connection, default_max_head_bytes, m_max_body_bytes);
}

void KeptConnection::close_connection()
{
    if (!m_connection)
        return;
    // libevent may be in the middle of this connection's callback, whose argument is the call.
    auto connection = std::shared_ptr<evhttp_connection>(std::exchange(m_connection, nullptr), [call = m_call](auto* ended) { evhttp_connection_free(ended); });
    m_loop.soon([connection = std::move(connection)] {});
}

void KeptConnection::reset()
{
    close_connection();
    if (m_call)
        m_call->owner = nullptr;
    m_call.reset();
    m_end_timer.reset();
}

static HttpAnswer answer_of(evhttp_request* request)
{
    HttpAnswer answer;
    answer.status = evhttp_request_get_response_code(request);
    answer.headers = headers_of(request);
    auto* buffer = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, answer.body.data(), answer.body.size());
    return answer;
}

/// Bytes lie there that came behind the last answer, and would be read as the next one.
static bool has_surplus(evhttp_connection* connection)
{
    return evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(connection))) > 0;
}

void KeptConnection::get(std::string const& path, Callback callback)
{
    // Whoever asks anew waits for the last call no longer, but libevent holds it until its connection is gone.
    if (m_call)
        reset();
    if (m_connection && has_surplus(m_connection))
        close_connection();
    if (!m_connection)
        connect();
    m_call = std::make_shared<Call>(Call { this, std::move(callback), path });
    // The timeout of the connection begins anew with each byte.
    m_end_timer = m_loop.after(m_timeout * total_timeout_factor, [this] { on_total_timeout(); });
    auto const on_end = [](evhttp_request* ended, void* raw) {
        auto& call = *static_cast<Call*>(raw);
        // The total timeout may have ended the call in the same iteration of the loop.
        if (!call.owner || call.has_ended)
            return;
        bool const is_answered = ended && evhttp_request_get_response_code(ended) != 0;
        bool const is_whole = is_answered && call.failure == HttpFailure::NotConnected && says_its_length(ended);
        call.owner->on_end(is_whole, is_whole ? answer_of(ended) : HttpAnswer {});
    };
    auto const on_error = [](evhttp_request_error error, void* raw) {
        // libevent reports an error here only once the connection stood.
        static_cast<Call*>(raw)->failure = failure_of(error);
    };
    auto* request = evhttp_request_new(on_end, m_call.get());
    evhttp_request_set_error_cb(request, on_error);
    evhttp_request_set_header_cb(request, [](evhttp_request* arrived, void* raw) {
        auto& call = *static_cast<Call*>(raw);
        if (is_interim_answer(arrived))
            call.interim_answers += 1;
        return call.interim_answers <= max_interim_answers ? 0 : -1;
    });
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", (m_address + ":" + std::to_string(m_port)).c_str());
    evhttp_make_request(m_connection, request, EVHTTP_REQ_GET, path.c_str());
}

void KeptConnection::on_total_timeout()
{
    if (!m_call || m_call->has_ended)
        return;
    m_call->failure = HttpFailure::TimedOut;
    on_end(false, {});
}

void KeptConnection::on_end(bool is_whole, HttpAnswer answer)
{
    m_call->has_ended = true;
    if (m_call->failure == HttpFailure::TooLong)
        log_too_long(m_address, m_port, m_call->path);
    if (!is_whole)
        close_connection();
    // libevent may call this before get() has returned, so the caller hears of it in the loop's next turn.
    m_loop.soon([call = m_call, is_whole, answer = std::move(answer)] {
        auto* owner = std::exchange(call->owner, nullptr);
        if (!owner)
            return;
        owner->m_call.reset();
        owner->m_end_timer.reset();
        if (is_whole)
            call->callback(answer);
        else
            call->callback(tl::unexpected(call->failure));
    });
}

}
