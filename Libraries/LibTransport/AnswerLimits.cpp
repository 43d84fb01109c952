// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/AnswerLimits.h>

#include <LibCore/Log.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace Transport {

// Room for the framing of a body, and for what libevent reads at once.
static constexpr size_t read_ahead_bytes = size_t { 64 } * 1024;
// The longest chunk of a body without a limit.
static constexpr size_t max_chunk_bytes = size_t { 16 } << 20;
static constexpr int statuses_per_class = 100;

void limit_answer(evhttp_connection* connection, size_t max_head_bytes, std::optional<size_t> max_body_bytes)
{
    evhttp_connection_set_max_headers_size(connection, static_cast<ev_ssize_t>(max_head_bytes));
    if (max_body_bytes)
        evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(*max_body_bytes));
    auto const waiting = max_body_bytes.value_or(max_chunk_bytes);
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection), EV_READ, 0, max_head_bytes + waiting + read_ahead_bytes);
}

bool is_interim_answer(evhttp_request* request)
{
    return evhttp_request_get_response_code(request) / statuses_per_class == 1;
}

HttpFailure failure_of(evhttp_request_error error)
{
    if (error == EVREQ_HTTP_TIMEOUT)
        return HttpFailure::TimedOut;
    return error == EVREQ_HTTP_DATA_TOO_LONG ? HttpFailure::TooLong : HttpFailure::BrokenOff;
}

void log_too_long(std::string const& address, uint16_t port, std::string const& path)
{
    Core::log_event(Core::LogLevel::Warn, "answer_too_long", { { "server", address + ":" + std::to_string(port) }, { "path", path.substr(0, path.find('?')) } });
}

}
