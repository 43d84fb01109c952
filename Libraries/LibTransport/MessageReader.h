// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibTransport/ChunkDecoder.h>
#include <LibTransport/MessageHead.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Transport {

/// A server may send this many interim answers (1xx) before its answer.
inline constexpr int max_interim_answers = 8;

/// Reads one message after another from a connection's bytes, strictly by the grammar of RFC 9112.
///
/// A head is held until it is whole, so that it can be refused before anybody acts on it. Interim answers are checked and skipped.
class MessageReader {
public:
    using Kind = MessageKind;

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

    bool is_between_messages() const { return m_state == State::Head && m_unread.empty(); }
    bool has_partial_head() const { return m_state == State::Head && !m_unread.empty(); }
    bool is_whole() const { return m_state == State::Whole; }
    /// Bytes that are held and not parsed yet.
    size_t held_bytes() const { return m_unread.size() + m_chunks.held_bytes(); }

private:
    enum class State {
        Head,
        Body,
        Whole,
        Failed,
    };

    tl::expected<void, MessageFault> read_next();
    tl::expected<void, MessageFault> take_head();
    tl::expected<void, MessageFault> check_partial_head() const;
    tl::expected<void, MessageFault> skip_interim_answer();
    void begin_body();
    tl::expected<void, MessageFault> take_body();
    void begin_message();

    Kind m_kind;
    size_t m_max_head_bytes;
    Callbacks m_callbacks;
    BodyExpectation m_body_expectation { BodyExpectation::ByHead };
    State m_state { State::Head };
    // After a failure, what every further call returns.
    MessageFault m_fault { MessageFault::LineEnd };
    bool m_is_feeding { false };
    MessageHead m_head;
    int m_interim_answers { 0 };
    // Bytes of a body of stated length that have not come yet.
    uint64_t m_left_in_body { 0 };
    ChunkDecoder m_chunks;
    // Bytes that are not parsed yet: a head that is not whole, or what follows a whole message.
    std::string m_unread;
};

}
