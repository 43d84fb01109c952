// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/Error.h>

namespace Core {

char const* error_name(ErrorCode code)
{
    switch (code) {
    case ErrorCode::AddressInUse:
        return "address_in_use";
    case ErrorCode::BadCredentials:
        return "bad_credentials";
    case ErrorCode::ConnectFailed:
        return "connect_failed";
    case ErrorCode::FileUnreadable:
        return "file_unreadable";
    case ErrorCode::ImpossibleSettings:
        return "impossible_settings";
    case ErrorCode::MalformedJson:
        return "malformed_json";
    case ErrorCode::MalformedMessage:
        return "malformed_message";
    case ErrorCode::PlatformUnavailable:
        return "platform_unavailable";
    case ErrorCode::UnknownKey:
        return "unknown_key";
    case ErrorCode::UnreadableField:
        return "unreadable_field";
    case ErrorCode::WrongType:
        return "wrong_type";
    case ErrorCode::WrongUnit:
        return "wrong_unit";
    }
    return "unknown";
}

}
