// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibTransport/MessageReader.h>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// The decoded head of a caller's HTTP request, independent of the platform's field names.
struct CallerHead {
    std::string request_id;
    std::string host;
    /// Path without the query.
    std::string path;
    /// How long the caller waits for the answer; std::nullopt if it sets no limit.
    std::optional<Core::Duration> deadline;
    /// The API key of the caller's customer, if the request carries one.
    std::optional<std::string> key;
    /// Id of the last event of a stream that the caller already received, if it resumes a stream.
    std::optional<int64_t> last_event;
    int64_t prompt_tokens { 0 };
    /// Largest number of tokens that may be generated.
    int64_t answer_tokens { 0 };
    /// The caller's estimate of the number of tokens that will be generated; 0 if it gave none.
    int64_t answer_tokens_hint { 0 };
    /// Ids of the parts of the prompt that other requests may share, in order, each once: all but the last, which is the request's own.
    std::vector<std::string> shared_prompt_parts;
};

/// The values that this system adds to the head of a request to a backend server.
struct BackendRequestFields {
    /// Incarnation of the backend server that the request is meant for; another incarnation refuses it.
    std::string server_id;
    std::optional<std::string> customer;
    /// The caller's remaining wait time.
    Core::Duration remaining { 0 };
    /// Version of the model's weights that the request must run on, if it must run on a certain one.
    std::optional<int64_t> expected_version;
    /// Id of the last event that the caller already received, if a stream is resumed.
    std::optional<int64_t> last_event;
    /// Priority from 0 (first) to 9 (last).
    std::optional<int> urgency;
};

/// The decoded head of a backend server's answer.
struct BackendHead {
    int status { 0 };
    /// Whether the backend server states that it did not run the request.
    bool is_not_run { false };
    /// Whether the answer carries the header that marks it as a backend server's own, and no content encoding, as none was requested.
    bool is_genuine { false };
    std::string request_id;
    /// How long the backend server, if it refuses the request, wants no requests from this entry.
    std::optional<Core::Duration> retry_after;
    /// The text of such a time that is no number of seconds from 0 to 3600.
    std::optional<std::string> unreadable_retry_after;
    /// Requests per second that the backend server accepts from all entries together; std::nullopt if it states no limit.
    std::optional<double> max_requests_per_second;
    /// The text of a limit that is no number of requests per second.
    std::optional<std::string> unreadable_limit;
    /// Whether the backend server states that it is about to end and takes no new requests.
    bool is_leaving { false };
    /// Version of the model's weights that the backend server reports for the answer.
    std::optional<int64_t> version;
    /// The header fields to forward to the caller, without those that concern only one connection (hop-by-hop).
    Transport::HttpHeaders headers;
};

/// Interface that reads and writes the heads of requests and answers with the platform's field names.
class RequestHeads {
public:
    virtual ~RequestHeads() = default;

    /// Decodes the head of a caller's request.
    virtual CallerHead read_caller(Transport::MessageHead const&) const = 0;

    /// Returns the whole request, head and body, as it is sent to the backend server.
    virtual std::string write_request(Transport::MessageHead const& caller, std::string const& body, BackendRequestFields const&) const = 0;

    /// Decodes the head of a backend server's answer.
    virtual BackendHead read_backend(Transport::MessageHead const&) const = 0;

    /// Returns the header fields of an answer that this system generates itself.
    virtual Transport::HttpHeaders generated_answer_headers(std::string const& request_id, std::optional<Core::Duration> retry_after) const = 0;

    /// Returns the id in the text of a stream's event; std::nullopt if it has none.
    virtual std::optional<int64_t> event_id(std::string_view event) const = 0;
};

}
