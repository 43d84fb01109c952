// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/MessageHead.h>

#include <LibCore/HttpText.h>
#include <algorithm>
#include <charconv>
#include <strings.h>

namespace Transport {

static constexpr std::string_view line_end = "\r\n";
static constexpr std::string_view version_prefix = "HTTP/1.";
static constexpr size_t version_size = 8;
static constexpr size_t status_digits = 3;
static constexpr int status_switching_protocols = 101;
static constexpr int first_interim_status = 100;
static constexpr int first_final_status = 200;
static constexpr int status_no_content = 204;
static constexpr int status_not_modified = 304;

char const* fault_name(MessageFault fault)
{
    switch (fault) {
    case MessageFault::LineEnd:
        return "line_end";
    case MessageFault::StartLine:
        return "start_line";
    case MessageFault::Version:
        return "version";
    case MessageFault::Status:
        return "status";
    case MessageFault::FieldName:
        return "field_name";
    case MessageFault::FieldValue:
        return "field_value";
    case MessageFault::Host:
        return "host";
    case MessageFault::Framing:
        return "framing";
    case MessageFault::ProtocolSwitch:
        return "protocol_switch";
    case MessageFault::ChunkSize:
        return "chunk_size";
    case MessageFault::ChunkEnd:
        return "chunk_end";
    case MessageFault::HeadTooLarge:
        return "head_too_large";
    case MessageFault::ChunkFramingTooLarge:
        return "chunk_framing_too_large";
    case MessageFault::TooManyInterimAnswers:
        return "too_many_interim_answers";
    case MessageFault::Surplus:
        return "surplus";
    }
    return "";
}

bool is_size_fault(MessageFault fault)
{
    return fault == MessageFault::HeadTooLarge || fault == MessageFault::ChunkFramingTooLarge || fault == MessageFault::TooManyInterimAnswers;
}

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

bool MessageHead::is_interim() const
{
    return status >= first_interim_status && status < first_final_status;
}

bool MessageHead::has_status_without_body() const
{
    return is_interim() || status == status_no_content || status == status_not_modified;
}

static bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

static bool is_visible(char c)
{
    return c > ' ' && c < '\x7f';
}

static bool is_blank(char c)
{
    return c == ' ' || c == '\t';
}

static std::string_view without_blanks_around(std::string_view text)
{
    while (!text.empty() && is_blank(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && is_blank(text.back()))
        text.remove_suffix(1);
    return text;
}

tl::expected<std::string_view, MessageFault> take_line(std::string_view& text)
{
    auto const end = text.find_first_of(line_end);
    if (end == std::string_view::npos || text.substr(end, line_end.size()) != line_end)
        return tl::unexpected(MessageFault::LineEnd);
    auto const line = text.substr(0, end);
    text.remove_prefix(end + line_end.size());
    return line;
}

tl::expected<std::pair<std::string_view, std::string_view>, MessageFault> parse_field_line(std::string_view line)
{
    auto const colon = line.find(':');
    if (colon == std::string_view::npos)
        return tl::unexpected(MessageFault::FieldName);
    auto const name = line.substr(0, colon);
    if (!Core::is_token(name))
        return tl::unexpected(MessageFault::FieldName);
    auto const value = without_blanks_around(line.substr(colon + 1));
    if (!Core::is_field_value(value))
        return tl::unexpected(MessageFault::FieldValue);
    return std::pair(name, value);
}

// Start lines (RFC 9112, sections 3 and 4).

static tl::expected<void, MessageFault> parse_version(std::string_view version, MessageHead& head)
{
    if (version.size() != version_size || !version.starts_with("HTTP/"))
        return tl::unexpected(MessageFault::StartLine);
    // A higher minor version is read as the highest known one (RFC 9110, section 2.5).
    if (!version.starts_with(version_prefix) || !is_digit(version.back()))
        return tl::unexpected(MessageFault::Version);
    head.knows_chunks = version.back() != '0';
    return {};
}

static bool is_letter(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
}

/// RFC 3986, section 3.1.
static bool is_scheme(std::string_view text)
{
    auto const is_scheme_byte = [](char c) { return is_letter(c) || is_digit(c) || c == '+' || c == '-' || c == '.'; };
    return !text.empty() && is_letter(text.front()) && std::all_of(text.begin(), text.end(), is_scheme_byte);
}

/// RFC 9112, section 3.2: the forms of a target that name a resource.
static bool is_target(std::string_view method, std::string_view target)
{
    if (target.empty() || !std::all_of(target.begin(), target.end(), is_visible))
        return false;
    bool const is_origin_form = target.front() == '/';
    auto const scheme_end = target.find("://");
    bool const is_absolute_form = scheme_end != std::string_view::npos && is_scheme(target.substr(0, scheme_end));
    bool const is_asterisk_form = method == "OPTIONS" && target == "*";
    return is_origin_form || is_absolute_form || is_asterisk_form;
}

static tl::expected<void, MessageFault> parse_request_line(std::string_view line, MessageHead& head)
{
    auto const method_end = line.find(' ');
    auto const target_end = line.rfind(' ');
    if (method_end == target_end)
        return tl::unexpected(MessageFault::StartLine);
    auto const method = line.substr(0, method_end);
    auto const target = line.substr(method_end + 1, target_end - method_end - 1);
    // A connection to a server serves as no tunnel.
    if (!Core::is_token(method) || method == "CONNECT" || !is_target(method, target))
        return tl::unexpected(MessageFault::StartLine);
    head.method = method;
    head.target = target;
    return parse_version(line.substr(target_end + 1), head);
}

static tl::expected<void, MessageFault> parse_status_line(std::string_view line, MessageHead& head)
{
    auto const version_end = std::min(line.find(' '), line.size());
    if (auto version = parse_version(line.substr(0, version_end), head); !version.has_value())
        return version;
    line.remove_prefix(version_end);
    if (line.empty())
        return tl::unexpected(MessageFault::StartLine);
    line.remove_prefix(1);
    auto const digits = line.substr(0, line.find(' '));
    if (digits.size() != status_digits || !std::all_of(digits.begin(), digits.end(), is_digit))
        return tl::unexpected(MessageFault::Status);
    std::from_chars(digits.data(), digits.data() + digits.size(), head.status);
    // RFC 9110, section 15: values outside of this range are invalid.
    if (!head.is_interim() && !Core::is_final_status(head.status))
        return tl::unexpected(MessageFault::Status);
    // Some servers also leave out the space before an absent reason phrase.
    line.remove_prefix(digits.size());
    if (!Core::is_field_value(line))
        return tl::unexpected(MessageFault::StartLine);
    return {};
}

// Framing (RFC 9112, section 6).

static std::optional<uint64_t> parse_length(std::string_view text)
{
    uint64_t length = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, length);
    // from_chars takes neither a plus sign nor blanks, and no minus sign for an unsigned number.
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return {};
    return length;
}

/// A length beside chunks, or two lengths even if they are the same, may be read otherwise by the next server on the way.
static tl::expected<void, MessageFault> parse_framing(MessageHead& head)
{
    for (auto const& [name, value] : head.headers) {
        bool const is_length = equals_without_case(name, "Content-Length");
        bool const is_coding = equals_without_case(name, "Transfer-Encoding");
        if (!is_length && !is_coding)
            continue;
        if (head.content_length || head.is_chunked)
            return tl::unexpected(MessageFault::Framing);
        if (is_length) {
            head.content_length = parse_length(value);
            if (!head.content_length)
                return tl::unexpected(MessageFault::Framing);
            continue;
        }
        if (!head.knows_chunks || !equals_without_case(value, "chunked"))
            return tl::unexpected(MessageFault::Framing);
        head.is_chunked = true;
    }
    return {};
}

/// RFC 9112, section 6.3: an answer with neither a length nor chunks, to which a body belongs, ends with its connection.
static BodyEnd body_end(MessageKind kind, BodyExpectation expectation, MessageHead const& head)
{
    bool const has_no_body = kind == MessageKind::Request || expectation == BodyExpectation::None || head.has_status_without_body();
    return has_no_body || head.is_chunked || head.content_length ? BodyEnd::Stated : BodyEnd::EndOfConnection;
}

static bool has_connection_option(MessageHead const& head, std::string_view option)
{
    for (auto const& [name, value] : head.headers) {
        if (!equals_without_case(name, "Connection"))
            continue;
        for (std::string_view rest = value; !rest.empty();) {
            auto const comma = std::min(rest.find(','), rest.size());
            if (equals_without_case(without_blanks_around(rest.substr(0, comma)), option))
                return true;
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

/// RFC 9112, section 9.3.
static bool keeps_connection(MessageHead const& head)
{
    if (head.body_end == BodyEnd::EndOfConnection || has_connection_option(head, "close"))
        return false;
    return head.knows_chunks || has_connection_option(head, "keep-alive");
}

/// RFC 9112, section 3.2: a request names one host; one of HTTP/1.0 may name none.
static bool has_valid_host(MessageHead const& head)
{
    auto const hosts = std::count_if(head.headers.begin(), head.headers.end(), [](auto const& field) { return equals_without_case(field.first, "Host"); });
    return hosts == 1 || (hosts == 0 && !head.knows_chunks);
}

tl::expected<MessageHead, MessageFault> parse_head(MessageKind kind, BodyExpectation expectation, std::string_view text)
{
    MessageHead head;
    auto const start_line = take_line(text);
    if (!start_line.has_value())
        return tl::unexpected(start_line.error());
    auto const started = kind == MessageKind::Request ? parse_request_line(*start_line, head) : parse_status_line(*start_line, head);
    if (!started.has_value())
        return tl::unexpected(started.error());
    for (;;) {
        auto const line = take_line(text);
        if (!line.has_value())
            return tl::unexpected(line.error());
        if (line->empty())
            break;
        auto const field = parse_field_line(*line);
        if (!field.has_value())
            return tl::unexpected(field.error());
        head.headers.emplace_back(field->first, field->second);
    }
    if (kind == MessageKind::Request && !has_valid_host(head))
        return tl::unexpected(MessageFault::Host);
    if (auto framed = parse_framing(head); !framed.has_value())
        return tl::unexpected(framed.error());
    if (head.status == status_switching_protocols)
        return tl::unexpected(MessageFault::ProtocolSwitch);
    head.body_end = body_end(kind, expectation, head);
    head.keeps_connection = keeps_connection(head);
    return head;
}

}
