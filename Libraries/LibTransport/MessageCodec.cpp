// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/MessageCodec.h>

#include <LibCore/JsonNesting.h>
#include <LibSchema/Json.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Transport {

std::string encode_message(Schema::Message const& message)
{
    // FIXME: Bodies travel as CBOR text strings although they may not be UTF-8; both ends of a link are ours.
    auto value = Schema::to_value(message);
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

// Major types of CBOR (RFC 8949, section 3.1).
static constexpr unsigned byte_string_type = 2;
static constexpr unsigned text_string_type = 3;
static constexpr unsigned array_type = 4;
static constexpr unsigned map_type = 5;
static constexpr unsigned tag_type = 6;

/// Reads the argument of a CBOR item's head. Returns std::nullopt if the bytes end within it, or if it states no length: encode_message()
/// writes all lengths.
static std::optional<uint64_t> read_argument(std::string_view bytes, size_t& position, unsigned information)
{
    static constexpr unsigned first_following = 24;
    static constexpr unsigned last_following = 27;
    if (information < first_following)
        return information;
    if (information > last_following)
        return {};
    auto const size = size_t { 1 } << (information - first_following);
    if (bytes.size() - position < size)
        return {};
    uint64_t argument = 0;
    for (auto const byte : bytes.substr(position, size))
        argument = argument << 8 | static_cast<unsigned char>(byte);
    position += size;
    return argument;
}

/// Whether the library's reader, which is recursive over arrays, maps, tags and strings in parts, can read the bytes within
/// Core::max_nesting_depth. False also for some bytes that are not CBOR.
static bool has_bounded_nesting(std::string_view bytes)
{
    // The items that are still to come in each open array or map; of the whole message, one.
    std::vector<uint64_t> missing { 1 };
    size_t position = 0;
    while (!missing.empty()) {
        if (missing.back() == 0) {
            missing.pop_back();
            continue;
        }
        missing.back() -= 1;
        if (position >= bytes.size())
            return false;
        auto const head = static_cast<unsigned char>(bytes[position++]);
        auto const type = static_cast<unsigned>(head >> 5);
        auto const argument = read_argument(bytes, position, head & 31U);
        if (!argument || type == tag_type)
            return false;
        bool const has_content = type >= byte_string_type && type <= map_type;
        if (has_content && *argument > bytes.size() - position)
            return false;
        if (type == byte_string_type || type == text_string_type)
            position += *argument;
        if (type == array_type || type == map_type)
            missing.push_back(type == map_type ? *argument * 2 : *argument);
        if (missing.size() > Core::max_nesting_depth)
            return false;
    }
    return true;
}

/// CBOR as a value; discarded if it is none, or is nested too deeply. A length past all memory is thrown by the library, whatever it was told.
static nlohmann::json value_of(std::string_view bytes)
{
    if (!has_bounded_nesting(bytes))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    try {
        return nlohmann::json::from_cbor(bytes, true, false);
    } catch (std::exception const&) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
}

Core::ErrorOr<Schema::Message> decode_message(std::string_view bytes, std::string& unknown)
{
    auto value = value_of(bytes);
    if (value.is_discarded() || !value.is_object())
        return Core::failure(Core::ErrorCode::MalformedMessage, "not a CBOR map");
    if (value.size() != 1)
        return Core::failure(Core::ErrorCode::MalformedMessage, "not exactly one member");
    auto message = Schema::from_value_of_any_build<Schema::Message>(value, unknown);
    if (!message.has_value())
        return Core::failure(Core::ErrorCode::MalformedMessage, message.error().detail);
    return message;
}

}
