// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibTransport/HttpServer.h>
#include <cstdint>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>

namespace Transport {

/// How the end of a message's body is known.
enum class BodyEnd {
    /// By the head, or by the last chunk.
    Stated,
    /// By the end of the connection. A sender that crashes between two writes looks the same.
    EndOfConnection,
};

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
};

/// Why bytes are no HTTP/1.1 message that can be trusted.
enum class MessageFault {
    /// Two lengths, a length beside chunks, bare line feeds, folded headers, control characters, and the like.
    Malformed,
    HeadTooLarge,
    /// Bytes behind a whole answer.
    Surplus,
};

/// Whether an answer belongs to a HEAD request, which brings no body.
enum class BodyExpectation {
    ByHead,
    None,
};

/// Reads one message after another from a connection's bytes, strictly.
///
/// The head is held until it is whole, so that what a lenient parser lets pass can be refused before anybody acts
/// on it. What follows is parsed by http_parser as it comes.
class MessageReader {
public:
    enum class Kind {
        Request,
        Answer,
    };

    struct Callbacks {
        std::function<void(MessageHead const&)> head;
        std::function<void(std::string_view)> data;
        std::function<void()> done;
    };

    MessageReader(Kind, size_t max_head_bytes, Callbacks);

    void set_body_expectation(BodyExpectation expectation) { m_body_expectation = expectation; }

    /// Feeds bytes. A reader of requests stops behind a whole message: the rest is kept until `resume`.
    /// @return a fault after which the connection is of no more use.
    tl::expected<void, MessageFault> feed(std::string_view);

    /// Goes on with what was kept behind the last message.
    tl::expected<void, MessageFault> resume() { return feed({}); }

    /// The peer closed its side in good order.
    /// @return true if this ended a message that has no length of its own.
    bool finish();

    bool is_between_messages() const { return m_state == State::Head && m_head_bytes.empty(); }
    bool has_partial_head() const { return m_state == State::Head && !m_head_bytes.empty(); }
    bool is_whole() const { return m_state == State::Whole; }
    /// Bytes that are held and not parsed yet.
    size_t held_bytes() const { return m_head_bytes.size(); }

private:
    enum class State {
        Head,
        Body,
        Whole,
        Failed,
    };

    static int on_field(http_parser*, char const*, size_t);
    static int on_value(http_parser*, char const*, size_t);
    static int on_target(http_parser*, char const*, size_t);
    static int on_headers_complete(http_parser*);
    static int on_body(http_parser*, char const*, size_t);
    static int on_message_complete(http_parser*);
    static http_parser_settings const& parser_settings();
    static MessageReader& self(http_parser*);

    bool ends_with_connection() const;
    tl::expected<void, MessageFault> take_head();
    tl::expected<void, MessageFault> parse(std::string_view, size_t& consumed);
    tl::expected<void, MessageFault> fail(MessageFault);
    void begin_message();

    Kind m_kind;
    size_t m_max_head_bytes;
    Callbacks m_callbacks;
    BodyExpectation m_body_expectation { BodyExpectation::ByHead };
    http_parser m_parser {};
    State m_state { State::Head };
    bool m_is_feeding { false };
    bool m_was_value { false };
    MessageHead m_head;
    // Bytes that are not parsed yet: a head that is not whole, or what follows a whole message.
    std::string m_head_bytes;
};

}
