// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibSchema/Generated.h>
#include <string>
#include <string_view>

namespace Transport {

/// Encodes a message as CBOR (RFC 8949), leaving absent members out.
std::string encode_message(Schema::Message const&);

/// Decodes a message; anything but exactly one member, of the right shape if it is known, is an error. What this build does not know,
/// a kind of message or a member of one, is passed over: another build may have sent it. `unknown` names the first such member.
Core::ErrorOr<Schema::Message> decode_message(std::string_view bytes, std::string& unknown);

}
