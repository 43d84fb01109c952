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

Core::ErrorOr<Schema::Message> decode_message(std::string_view bytes)
{
    auto value = nlohmann::json::from_cbor(bytes, true, false);
    if (value.is_discarded() || !value.is_object())
        return Core::failure(Core::ErrorCode::MalformedMessage, "not a CBOR map");
    if (value.size() != 1)
        return Core::failure(Core::ErrorCode::MalformedMessage, "not exactly one member");
    auto message = Schema::from_value<Schema::Message>(value);
    if (!message.has_value())
        return Core::failure(Core::ErrorCode::MalformedMessage, message.error().detail);
    return message;
}

}
