// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Transport {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Whether a message asks or answers.
enum class MessageKind {
    Request,
    Answer,
};

/// Whether an answer belongs to a HEAD request, which brings no body.
enum class BodyExpectation {
    ByHead,
    None,
};

/// How the end of a message's body is known.
enum class BodyEnd {
    /// By the head, or by the last chunk.
    Stated,
    /// By the end of the connection. A sender that crashes between two writes looks the same.
    EndOfConnection,
};

/// Why bytes are no HTTP/1.1 message (RFC 9112) that can be trusted.
enum class MessageFault {
    /// A line that does not end with CR LF, or a CR elsewhere.
    LineEnd,
    /// A request line or status line that has not its three parts, or other bytes in them than may stand there.
    StartLine,
    /// A version other than HTTP/1.x.
    Version,
    /// A status that is not three digits from 100 to 599.
    Status,
    /// A field line without a colon, or whose name is no token.
    FieldName,
    /// A control byte in a field's value.
    FieldValue,
    /// No Host or several in a request.
    Host,
    /// Two statements of the body's length, one that is no number, or a coding other than chunked.
    Framing,
    /// A switch to another protocol, which no request asks for.
    ProtocolSwitch,
    ChunkSize,
    /// A chunk that is not followed by CR LF.
    ChunkEnd,
    HeadTooLarge,
    /// The line of a chunk's size, or the fields behind the last chunk, are too long.
    ChunkFramingTooLarge,
    TooManyInterimAnswers,
    /// Bytes behind a whole answer.
    Surplus,
};

/// The name of a fault in logs and metrics.
char const* fault_name(MessageFault);

/// Whether the fault is that something was longer than allowed.
bool is_size_fault(MessageFault);

/// The head of an HTTP/1.1 request or answer.
struct MessageHead {
    std::string method;
    std::string target;
    int status { 0 };
    HttpHeaders headers;
    std::optional<uint64_t> content_length;
    bool is_chunked { false };
    BodyEnd body_end { BodyEnd::Stated };
    /// The connection may carry another message after this one.
    bool keeps_connection { false };
    /// The sender knows the chunked coding (RFC 9112, section 6.1); a sender of HTTP/1.0 does not.
    bool knows_chunks { true };

    /// The first value of a header; names compare without case.
    std::optional<std::string_view> header(std::string_view name) const;
    /// Whether the answer is followed by another one to the same request (RFC 9110, section 15.2).
    bool is_interim() const;
    /// Whether no body follows an answer, whatever its fields say (RFC 9112, section 6.3).
    bool has_status_without_body() const;
};

/// Takes the next line off `text`, without its CR LF.
/// @return LineEnd if no line of `text` ends with CR LF, or a CR or LF stands elsewhere in it.
tl::expected<std::string_view, MessageFault> take_line(std::string_view& text);

/// Splits a field line (RFC 9112, section 5) into name and value.
/// @return FieldName or FieldValue.
tl::expected<std::pair<std::string_view, std::string_view>, MessageFault> parse_field_line(std::string_view line);

/// Parses a whole head, up to and including its empty line.
tl::expected<MessageHead, MessageFault> parse_head(MessageKind, BodyExpectation, std::string_view);

}
