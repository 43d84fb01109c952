// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/ChunkDecoder.h>

#include <LibCore/HttpText.h>
#include <algorithm>
#include <charconv>

namespace Transport {

static constexpr size_t max_size_line_bytes = 4096;
static constexpr size_t line_end_bytes = 2;
static constexpr int hexadecimal = 16;

ChunkDecoder::ChunkDecoder(size_t max_trailer_bytes)
    : m_max_trailer_bytes(max_trailer_bytes)
{
}

static std::string_view without_leading_blanks(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
    return text;
}

/// Takes a token off `text`; empty if there is none.
static std::string_view take_token(std::string_view& text)
{
    auto const* const end = std::find_if_not(text.begin(), text.end(), [](char const& byte) { return Core::is_token({ &byte, 1 }); });
    auto const token = text.substr(0, static_cast<size_t>(end - text.begin()));
    text.remove_prefix(token.size());
    return token;
}

/// Takes a quoted string (RFC 9110, section 5.6.4) off `text`. @return whether there is a whole one.
static bool take_quoted_string(std::string_view& text)
{
    if (!text.starts_with('"'))
        return false;
    for (size_t i = 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
            continue;
        }
        if (text[i] != '"')
            continue;
        bool const is_sound = Core::is_field_value(text.substr(0, i));
        text.remove_prefix(i + 1);
        return is_sound;
    }
    return false;
}

/// RFC 9112, section 7.1.1: *( BWS ";" BWS name [ BWS "=" BWS value ] ).
static bool are_extensions(std::string_view text)
{
    while (!text.empty()) {
        text = without_leading_blanks(text);
        if (!text.starts_with(';'))
            return false;
        text = without_leading_blanks(text.substr(1));
        if (take_token(text).empty())
            return false;
        auto const behind_name = without_leading_blanks(text);
        if (!behind_name.starts_with('='))
            continue;
        text = without_leading_blanks(behind_name.substr(1));
        if (!take_quoted_string(text) && take_token(text).empty())
            return false;
    }
    return true;
}

static tl::expected<uint64_t, MessageFault> parse_size_line(std::string_view line)
{
    uint64_t size = 0;
    auto const* const end = line.data() + line.size();
    // from_chars takes no sign for an unsigned number, and no prefix.
    auto const parsed = std::from_chars(line.data(), end, size, hexadecimal);
    if (parsed.ec != std::errc() || !are_extensions({ parsed.ptr, static_cast<size_t>(end - parsed.ptr) }))
        return tl::unexpected(MessageFault::ChunkSize);
    return size;
}

tl::expected<bool, MessageFault> ChunkDecoder::collect_line(std::string_view& bytes, size_t max_bytes)
{
    auto const line_feed = bytes.find('\n');
    bool const is_whole = line_feed != std::string_view::npos;
    auto const part = bytes.substr(0, is_whole ? line_feed + 1 : bytes.size());
    if (m_line.size() + part.size() > max_bytes)
        return tl::unexpected(MessageFault::ChunkFramingTooLarge);
    m_line.append(part);
    bytes.remove_prefix(part.size());
    return is_whole;
}

tl::expected<void, MessageFault> ChunkDecoder::take_collected_line()
{
    auto const text = std::exchange(m_line, {});
    std::string_view rest = text;
    auto const line = take_line(rest);
    if (!line.has_value())
        return tl::unexpected(line.error());
    if (m_state == State::Size) {
        auto const size = parse_size_line(*line);
        if (!size.has_value())
            return tl::unexpected(size.error());
        m_left_in_chunk = *size;
        m_state = *size > 0 ? State::Data : State::Trailer;
        return {};
    }
    if (line->empty()) {
        m_state = State::Whole;
        return {};
    }
    m_trailer_bytes += text.size();
    auto const field = parse_field_line(*line);
    if (!field.has_value())
        return tl::unexpected(field.error());
    return {};
}

tl::expected<void, MessageFault> ChunkDecoder::decode(std::string_view& bytes, std::function<void(std::string_view)> const& on_data)
{
    while (!bytes.empty() && m_state != State::Whole) {
        if (m_state == State::Data) {
            auto const data = bytes.substr(0, std::min<uint64_t>(m_left_in_chunk, bytes.size()));
            m_left_in_chunk -= data.size();
            bytes.remove_prefix(data.size());
            if (m_left_in_chunk == 0)
                m_state = State::DataEnd;
            on_data(data);
            continue;
        }
        if (m_state == State::DataEnd) {
            static constexpr std::string_view line_end = "\r\n";
            auto const expected = line_end[m_line.size()];
            if (bytes.front() != expected)
                return tl::unexpected(MessageFault::ChunkEnd);
            m_line += expected;
            bytes.remove_prefix(1);
            if (m_line.size() == line_end_bytes) {
                m_line.clear();
                m_state = State::Size;
            }
            continue;
        }
        auto const max_bytes = m_state == State::Size ? max_size_line_bytes : m_max_trailer_bytes + line_end_bytes - m_trailer_bytes;
        auto const is_line_whole = collect_line(bytes, max_bytes);
        if (!is_line_whole.has_value())
            return tl::unexpected(is_line_whole.error());
        if (!*is_line_whole)
            break;
        if (auto taken = take_collected_line(); !taken.has_value())
            return taken;
    }
    return {};
}

}
