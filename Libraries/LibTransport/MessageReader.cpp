// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/MessageReader.h>

#include <algorithm>
#include <strings.h>

namespace Transport {

static constexpr std::string_view head_end = "\r\n\r\n";

static bool equals_without_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string_view> MessageHead::header(std::string_view name) const
{
    for (auto const& [field, value] : headers) {
        if (equals_without_case(field, name))
            return value;
    }
    return {};
}

MessageReader::MessageReader(Kind kind, size_t max_head_bytes, Callbacks callbacks)
    : m_kind(kind)
    , m_max_head_bytes(max_head_bytes)
    , m_callbacks(std::move(callbacks))
{
    begin_message();
}

void MessageReader::begin_message()
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_head = {};
    m_was_value = false;
    m_state = State::Head;
}

MessageReader& MessageReader::self(http_parser* parser)
{
    return *static_cast<MessageReader*>(parser->data);
}

http_parser_settings const& MessageReader::parser_settings()
{
    static http_parser_settings const s_settings = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = on_target;
        settings.on_header_field = on_field;
        settings.on_header_value = on_value;
        settings.on_headers_complete = on_headers_complete;
        settings.on_body = on_body;
        settings.on_message_complete = on_message_complete;
        return settings;
    }();
    return s_settings;
}

int MessageReader::on_target(http_parser* parser, char const* bytes, size_t size)
{
    self(parser).m_head.target.append(bytes, size);
    return 0;
}

int MessageReader::on_field(http_parser* parser, char const* bytes, size_t size)
{
    auto& reader = self(parser);
    // Fields behind the last chunk are read and dropped.
    if (reader.m_state != State::Head)
        return 0;
    if (reader.m_was_value || reader.m_head.headers.empty())
        reader.m_head.headers.emplace_back();
    reader.m_was_value = false;
    reader.m_head.headers.back().first.append(bytes, size);
    return 0;
}

int MessageReader::on_value(http_parser* parser, char const* bytes, size_t size)
{
    auto& reader = self(parser);
    if (reader.m_state != State::Head)
        return 0;
    reader.m_was_value = true;
    reader.m_head.headers.back().second.append(bytes, size);
    return 0;
}

int MessageReader::on_headers_complete(http_parser* parser)
{
    auto& reader = self(parser);
    auto& head = reader.m_head;
    bool const is_request = reader.m_kind == Kind::Request;
    if (is_request)
        head.method = http_method_str(static_cast<http_method>(parser->method));
    head.status = is_request ? 0 : static_cast<int>(parser->status_code);
    head.is_chunked = (parser->flags & F_CHUNKED) != 0;
    if (parser->flags & F_CONTENTLENGTH)
        head.content_length = parser->content_length;
    head.body_end = reader.ends_with_connection() ? BodyEnd::EndOfConnection : BodyEnd::Stated;
    head.keeps_connection = http_should_keep_alive(parser) != 0;
    head.knows_chunks = parser->http_major > 1 || (parser->http_major == 1 && parser->http_minor >= 1);
    reader.m_state = State::Body;
    if (reader.m_callbacks.head)
        reader.m_callbacks.head(head);
    return reader.m_body_expectation == BodyExpectation::None ? 1 : 0;
}

/// RFC 9112, section 6.3: an answer with neither a length nor chunks, to which a body belongs, ends with its connection.
bool MessageReader::ends_with_connection() const
{
    static constexpr int first_final_status = 200;
    static constexpr int status_no_content = 204;
    static constexpr int status_not_modified = 304;
    if (m_kind == Kind::Request || m_body_expectation == BodyExpectation::None || m_head.is_chunked || m_head.content_length)
        return false;
    return m_head.status >= first_final_status && m_head.status != status_no_content && m_head.status != status_not_modified;
}

int MessageReader::on_body(http_parser* parser, char const* bytes, size_t size)
{
    auto& reader = self(parser);
    if (reader.m_callbacks.data)
        reader.m_callbacks.data({ bytes, size });
    return 0;
}

int MessageReader::on_message_complete(http_parser* parser)
{
    auto& reader = self(parser);
    reader.m_state = State::Whole;
    // Stops the parser here, so that what follows is looked at as a message of its own.
    http_parser_pause(parser, 1);
    return 0;
}

tl::expected<void, MessageFault> MessageReader::fail(MessageFault fault)
{
    m_state = State::Failed;
    return tl::unexpected(fault);
}

static bool is_sound_head(std::string_view head)
{
    // The parser takes a bare line feed for a line's end and a leading blank for a folded line: peers may disagree.
    for (size_t i = 0; i < head.size(); ++i) {
        auto const byte = static_cast<unsigned char>(head[i]);
        bool const is_line_end = byte == '\n';
        if (is_line_end && (i == 0 || head[i - 1] != '\r'))
            return false;
        if (is_line_end && i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t'))
            return false;
        if (byte == '\r' && (i + 1 == head.size() || head[i + 1] != '\n'))
            return false;
        if (byte == 0)
            return false;
    }
    return true;
}

static bool has_one_framing(HttpHeaders const& headers)
{
    size_t lengths = 0;
    size_t encodings = 0;
    for (auto const& [name, value] : headers) {
        if (equals_without_case(name, "content-length"))
            ++lengths;
        if (equals_without_case(name, "transfer-encoding")) {
            ++encodings;
            if (!equals_without_case(value, "chunked"))
                return false;
        }
    }
    return lengths + encodings <= 1;
}

tl::expected<void, MessageFault> MessageReader::parse(std::string_view bytes, size_t& consumed)
{
    auto const parsed = http_parser_execute(&m_parser, &parser_settings(), bytes.data(), bytes.size());
    auto const error = HTTP_PARSER_ERRNO(&m_parser);
    if (error == HPE_PAUSED) {
        consumed = parsed;
        return {};
    }
    if (error != HPE_OK || m_parser.upgrade)
        return fail(MessageFault::Malformed);
    consumed = parsed;
    return {};
}

tl::expected<void, MessageFault> MessageReader::take_head()
{
    // Empty lines before a request line are allowed (RFC 9112, section 2.2).
    while (m_kind == Kind::Request && m_head_bytes.starts_with("\r\n"))
        m_head_bytes.erase(0, 2);
    auto const end = m_head_bytes.find(head_end);
    if (end == std::string::npos) {
        if (m_head_bytes.size() > m_max_head_bytes)
            return fail(MessageFault::HeadTooLarge);
        // A head that ends in bare line feeds would never end here.
        if (m_head_bytes.find("\n\n") != std::string::npos)
            return fail(MessageFault::Malformed);
        return {};
    }
    auto const size = end + head_end.size();
    if (size > m_max_head_bytes)
        return fail(MessageFault::HeadTooLarge);
    if (!is_sound_head(std::string_view(m_head_bytes).substr(0, size)))
        return fail(MessageFault::Malformed);
    auto const bytes = std::exchange(m_head_bytes, {});
    // The framing is judged from the raw fields before the parser's own reading of them takes effect.
    HttpHeaders framing;
    for (size_t line = bytes.find("\r\n") + 2; line < end; line = bytes.find("\r\n", line) + 2) {
        auto const colon = bytes.find(':', line);
        auto const line_end = bytes.find("\r\n", line);
        if (colon == std::string::npos || colon > line_end || colon == line || bytes[colon - 1] == ' ' || bytes[colon - 1] == '\t')
            return fail(MessageFault::Malformed);
        auto const first = bytes.find_first_not_of(" \t", colon + 1);
        auto value = first < line_end ? bytes.substr(first, line_end - first) : std::string();
        while (value.ends_with(' ') || value.ends_with('\t'))
            value.pop_back();
        framing.emplace_back(bytes.substr(line, colon - line), std::move(value));
    }
    if (!has_one_framing(framing))
        return fail(MessageFault::Malformed);
    size_t consumed = 0;
    if (auto parsed = parse(std::string_view(bytes).substr(0, size), consumed); !parsed.has_value())
        return parsed;
    if (m_state == State::Head)
        return fail(MessageFault::Malformed);
    m_head_bytes = bytes.substr(size);
    return {};
}

tl::expected<void, MessageFault> MessageReader::feed(std::string_view bytes)
{
    if (m_state == State::Failed)
        return tl::unexpected(MessageFault::Malformed);
    m_head_bytes.append(bytes);
    if (m_is_feeding)
        return {};
    m_is_feeding = true;
    tl::expected<void, MessageFault> result;
    while (result.has_value()) {
        if (m_state == State::Whole) {
            if (m_kind == Kind::Answer) {
                if (!m_head_bytes.empty())
                    result = fail(MessageFault::Surplus);
                break;
            }
            begin_message();
            m_callbacks.done();
            // One message at a time: the owner resumes when it has answered.
            break;
        }
        if (m_head_bytes.empty())
            break;
        if (m_state == State::Head) {
            result = take_head();
            if (m_state == State::Head)
                break;
            continue;
        }
        auto const pending = std::exchange(m_head_bytes, {});
        size_t consumed = 0;
        result = parse(pending, consumed);
        if (result.has_value() && consumed < pending.size())
            m_head_bytes.insert(0, pending, consumed, std::string::npos);
        if (m_state == State::Failed)
            break;
    }
    m_is_feeding = false;
    if (result.has_value() && m_kind == Kind::Answer && m_state == State::Whole && m_callbacks.done)
        std::exchange(m_callbacks.done, nullptr)();
    return result;
}

bool MessageReader::finish()
{
    if (m_state != State::Body)
        return false;
    http_parser_execute(&m_parser, &parser_settings(), nullptr, 0);
    if (m_state != State::Whole)
        return false;
    if (m_kind == Kind::Answer && m_callbacks.done)
        std::exchange(m_callbacks.done, nullptr)();
    return true;
}

}
