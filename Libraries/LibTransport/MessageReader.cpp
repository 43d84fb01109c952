// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/MessageReader.h>

#include <algorithm>
#include <utility>

namespace Transport {

static constexpr std::string_view head_end = "\r\n\r\n";
static constexpr std::string_view empty_line = "\r\n";

MessageReader::MessageReader(Kind kind, size_t max_head_bytes, Callbacks callbacks)
    : m_kind(kind)
    , m_max_head_bytes(max_head_bytes)
    , m_callbacks(std::move(callbacks))
    , m_chunks(max_head_bytes)
{
}

void MessageReader::begin_message()
{
    m_head = {};
    m_state = State::Head;
}

/// A line without CR LF can be told before the head is whole, and one that ends in bare line feeds would never end here.
tl::expected<void, MessageFault> MessageReader::check_partial_head() const
{
    if (m_unread.size() > m_max_head_bytes)
        return tl::unexpected(MessageFault::HeadTooLarge);
    for (auto line_feed = m_unread.find('\n'); line_feed != std::string::npos; line_feed = m_unread.find('\n', line_feed + 1)) {
        if (line_feed == 0 || m_unread[line_feed - 1] != '\r')
            return tl::unexpected(MessageFault::LineEnd);
    }
    return {};
}

tl::expected<void, MessageFault> MessageReader::take_head()
{
    // Empty lines before a request line are allowed (RFC 9112, section 2.2).
    while (m_kind == Kind::Request && m_unread.starts_with(empty_line))
        m_unread.erase(0, empty_line.size());
    auto const end = m_unread.find(head_end);
    if (end == std::string::npos)
        return check_partial_head();
    auto const size = end + head_end.size();
    if (size > m_max_head_bytes)
        return tl::unexpected(MessageFault::HeadTooLarge);
    auto head = parse_head(m_kind, m_body_expectation, std::string_view(m_unread).substr(0, size));
    if (!head.has_value())
        return tl::unexpected(head.error());
    m_unread.erase(0, size);
    m_head = std::move(*head);
    if (m_kind == Kind::Answer && m_head.is_interim())
        return skip_interim_answer();
    begin_body();
    return {};
}

tl::expected<void, MessageFault> MessageReader::skip_interim_answer()
{
    m_interim_answers += 1;
    if (m_interim_answers > max_interim_answers)
        return tl::unexpected(MessageFault::TooManyInterimAnswers);
    begin_message();
    return {};
}

void MessageReader::begin_body()
{
    m_state = State::Body;
    m_left_in_body = m_head.content_length.value_or(0);
    m_chunks = ChunkDecoder(m_max_head_bytes);
    if (m_callbacks.head)
        m_callbacks.head(m_head);
    bool const has_no_body = m_kind == Kind::Answer && (m_body_expectation == BodyExpectation::None || m_head.has_status_without_body());
    bool const is_empty = !m_head.is_chunked && m_left_in_body == 0 && m_head.body_end == BodyEnd::Stated;
    if (has_no_body || is_empty)
        m_state = State::Whole;
}

tl::expected<void, MessageFault> MessageReader::take_body()
{
    // What a callback feeds meanwhile is kept behind it.
    auto const bytes = std::exchange(m_unread, {});
    std::string_view rest = bytes;
    auto const pass_on = [this](std::string_view data) {
        if (m_callbacks.data)
            m_callbacks.data(data);
    };
    tl::expected<void, MessageFault> result;
    if (m_head.is_chunked) {
        result = m_chunks.decode(rest, pass_on);
        if (m_chunks.is_whole())
            m_state = State::Whole;
    } else if (m_head.body_end == BodyEnd::EndOfConnection) {
        pass_on(rest);
        rest = {};
    } else {
        auto const data = rest.substr(0, std::min<uint64_t>(m_left_in_body, rest.size()));
        rest.remove_prefix(data.size());
        m_left_in_body -= data.size();
        if (m_left_in_body == 0)
            m_state = State::Whole;
        pass_on(data);
    }
    m_unread.insert(0, rest);
    return result;
}

/// Reads as far as the bytes at hand reach, up to the end of one message.
tl::expected<void, MessageFault> MessageReader::read_next()
{
    while (m_state != State::Whole && !m_unread.empty()) {
        bool const was_head = m_state == State::Head;
        auto const size_before = m_unread.size();
        auto const taken = was_head ? take_head() : take_body();
        if (!taken.has_value())
            return taken;
        bool const needs_more = was_head && m_state == State::Head && m_unread.size() == size_before;
        if (needs_more)
            break;
    }
    return {};
}

tl::expected<void, MessageFault> MessageReader::feed(std::string_view bytes)
{
    if (m_state == State::Failed)
        return tl::unexpected(m_fault);
    m_unread.append(bytes);
    if (m_is_feeding)
        return {};
    m_is_feeding = true;
    auto result = read_next();
    bool const has_surplus = m_kind == Kind::Answer && m_state == State::Whole && !m_unread.empty();
    if (result.has_value() && has_surplus)
        result = tl::unexpected(MessageFault::Surplus);
    m_is_feeding = false;
    if (!result.has_value()) {
        m_state = State::Failed;
        m_fault = result.error();
        return result;
    }
    if (m_state != State::Whole)
        return result;
    // One message at a time: the owner resumes when it has answered.
    if (m_kind == Kind::Request)
        begin_message();
    if (m_callbacks.done)
        m_kind == Kind::Request ? m_callbacks.done() : std::exchange(m_callbacks.done, nullptr)();
    return result;
}

bool MessageReader::finish()
{
    if (m_state != State::Body || m_head.body_end != BodyEnd::EndOfConnection)
        return false;
    m_state = State::Whole;
    if (m_callbacks.done)
        std::exchange(m_callbacks.done, nullptr)();
    return true;
}

}
