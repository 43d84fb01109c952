// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibTransport/HttpClient.h>
#include <event2/http.h>

namespace Transport {

/// What is done with the body of an answer as it arrives.
enum class BodyUse {
    /// It is handed to a callback part by part.
    PassedOn,
    /// libevent keeps it until it is complete.
    KeptWhole,
};

/// Bounds how much a connection reads of an answer: its head, its body if that is limited, and what waits to be handled. libevent reports
/// a longer answer as EVREQ_HTTP_DATA_TOO_LONG, but counts no line that has no end, such as that of a chunk's size: there it stops reading,
/// and the call has to end by its total timeout.
void limit_answer(evhttp_connection*, size_t max_head_bytes, std::optional<size_t> max_body_bytes, BodyUse);

/// What an error that libevent reports on a connection that stood means to the caller.
HttpFailure failure_of(evhttp_request_error);

/// Logs an answer that was longer than allowed. `path` is logged without its query.
void log_too_long(std::string const& address, uint16_t port, std::string const& path);

}
