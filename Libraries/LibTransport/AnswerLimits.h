// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibTransport/HttpClient.h>
#include <event2/http.h>

namespace Transport {

/// A server may send this many interim answers (1xx) before its answer. libevent keeps the fields of all.
inline constexpr int max_interim_answers = 8;

/// Bounds how much a connection reads of an answer: its head, its body if that is limited, and what waits to be handled. libevent reports
/// a longer answer as EVREQ_HTTP_DATA_TOO_LONG, but counts no line that has no end, such as that of a chunk's size: there it stops reading,
/// also without a timeout of silence, and the call has to end by its total timeout. The same happens to a chunk of a body without a limit
/// that is longer than 16 MiB, since libevent handles only whole chunks.
void limit_answer(evhttp_connection*, size_t max_head_bytes, std::optional<size_t> max_body_bytes);

/// Whether the head that has arrived is that of an interim answer.
bool is_interim_answer(evhttp_request*);

/// What an error that libevent reports on an established connection means to the caller.
HttpFailure failure_of(evhttp_request_error);

/// Logs an answer that was longer than allowed. `path` is logged without its query.
void log_too_long(std::string const& address, uint16_t port, std::string const& path);

}
