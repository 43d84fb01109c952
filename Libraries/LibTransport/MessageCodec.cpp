// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/MessageCodec.h>

#include <LibSchema/Json.h>

namespace Transport {

std::string encode_message(Schema::Message const& message)
{
    // FIXME: Bodies travel as CBOR text strings although they may not be UTF-8; both ends of a link are ours.
    auto value = Schema::to_value(message);
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

/// CBOR as a value; discarded if it is none. A length past all memory is thrown by the library, whatever it was told.
static nlohmann::json value_of(std::string_view bytes)
{
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
