// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <type_traits>

namespace Core {

/// Every way an operation of the project's own can fail.
enum class ErrorCode {
    AddressInUse,
    BadCredentials,
    ConnectFailed,
    FileUnreadable,
    ImpossibleSettings,
    MalformedJson,
    MalformedMessage,
    PlatformUnavailable,
    UnknownKey,
    UnreadableField,
    WrongType,
    WrongUnit,
};

/// The machine-readable name of a code, as it stands in logs and problem details.
char const* error_name(ErrorCode);

/// A typed failure. `detail` is for people only: no code branches on it.
struct Error {
    ErrorCode code;
    std::string detail;
};

template<typename T>
using ErrorOr = tl::expected<T, Error>;

inline tl::unexpected<Error> failure(ErrorCode code, std::string detail)
{
    return tl::unexpected<Error>(Error { code, std::move(detail) });
}

namespace Detail {

    template<typename T>
    T take(ErrorOr<T>&& result)
    {
        if constexpr (!std::is_void_v<T>)
            return std::move(result).value();
    }

}

}

/// Evaluates to the value of an ErrorOr, or returns its error from the enclosing function.
#define TRY(expression)                                          \
    ({                                                           \
        auto _result = (expression);                             \
        if (!_result.has_value())                                \
            return tl::unexpected<Core::Error>(_result.error()); \
        Core::Detail::take(std::move(_result));                  \
    })
