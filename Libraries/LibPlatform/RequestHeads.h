// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibTransport/MessageReader.h>
#include <optional>
#include <string>

namespace Platform {

/// What a caller's head says, in the product's words.
struct CallerHead {
    std::string request_id;
    std::string host;
    /// Path without the query.
    std::string path;
    /// How long the caller will wait.
    std::optional<Core::Duration> deadline;
    std::optional<std::string> key;
    /// The last event of a stream that the caller already has.
    std::optional<int64_t> last_event;
    int64_t prompt_tokens { 0 };
    /// The most that may be generated.
    int64_t answer_tokens { 0 };
    /// The caller's guess of what will be generated; 0 if it gave none.
    int64_t answer_tokens_hint { 0 };
};

/// What the system itself says in the head that goes to a backend server.
struct BackendTerms {
    /// Incarnation that the call is meant for; another one refuses it.
    std::string server_id;
    std::optional<std::string> customer;
    /// What is left of the caller's time.
    Core::Duration remaining { 0 };
    std::optional<int64_t> expected_version;
    std::optional<int64_t> last_event;
    /// 0 to 9, 0 first.
    std::optional<int> urgency;
};

/// What a backend server's head says.
struct BackendHead {
    int status { 0 };
    /// The backend server says that it did not run the request.
    bool is_not_run { false };
    /// It bears the backend server's own mark, and no encoding that nobody asked for.
    bool is_genuine { false };
    std::string request_id;
    std::optional<Core::Duration> retry_after;
    std::optional<int64_t> version;
    /// The head of the answer as it goes to the caller, without what concerns one connection only.
    Transport::HttpHeaders headers;
};

/// How a request's head and an answer's head are read and written.
class RequestHeads {
public:
    virtual ~RequestHeads() = default;

    virtual CallerHead read_caller(Transport::MessageHead const&) const = 0;

    /// The whole request, as it goes out.
    virtual std::string write_request(Transport::MessageHead const& caller, std::string const& body, BackendTerms const&) const = 0;

    virtual BackendHead read_backend(Transport::MessageHead const&) const = 0;

    /// The fields of an answer of the system's own.
    virtual Transport::HttpHeaders own_answer(std::string const& request_id, std::optional<Core::Duration> retry_after) const = 0;

    /// The id of an event, and the version it names, out of the event's text.
    virtual std::optional<int64_t> event_id(std::string_view event) const = 0;
};

}
