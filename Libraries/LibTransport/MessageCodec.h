// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibSchema/Generated.h>
#include <string>
#include <string_view>

namespace Transport {

/// Encodes a message as CBOR (RFC 8949), leaving absent members out.
std::string encode_message(Schema::Message const&);

/// Decodes a message; anything but exactly one known member of the right shape is an error.
Core::ErrorOr<Schema::Message> decode_message(std::string_view bytes);

}
