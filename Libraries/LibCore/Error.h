// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <type_traits>

namespace Core {

/// The kinds of failure that functions of this project return.
enum class ErrorCode {
    AddressInUse,
    BadCredentials,
    ConnectFailed,
    FileUnreadable,
    /// Settings that are well-formed but cannot work: an invalid address, an empty mandatory value or two values that contradict each
    /// other.
    ImpossibleSettings,
    MalformedJson,
    MalformedMessage,
    PlatformUnavailable,
    UnknownKey,
    UnreadableField,
    WrongType,
    /// A number outside its allowed range, for instance because it was given in another unit.
    WrongUnit,
};

/// Returns the machine-readable name of a code in snake case, as logs and problem details contain it.
char const* error_name(ErrorCode);

/// A failure: a code for the program and a message for people. No code branches on `detail`.
struct Error {
    ErrorCode code;
    std::string detail;
};

/// The result of an operation that can fail: a value of type T or an Error.
template<typename T>
using ErrorOr = tl::expected<T, Error>;

/// Makes an Error to return from a function whose return type is ErrorOr.
inline tl::unexpected<Error> failure(ErrorCode code, std::string detail)
{
    return tl::unexpected<Error>(Error { code, std::move(detail) });
}

namespace Detail {

    // Moves the value out of a result; ErrorOr<void> has none to move.
    template<typename T>
    T take(ErrorOr<T>&& result)
    {
        if constexpr (!std::is_void_v<T>)
            return std::move(result).value();
    }

}

}

/// Evaluates to the value of an ErrorOr. If it holds an error, returns that error from the enclosing function.
#define TRY(expression)                                          \
    ({                                                           \
        auto _result = (expression);                             \
        if (!_result.has_value())                                \
            return tl::unexpected<Core::Error>(_result.error()); \
        Core::Detail::take(std::move(_result));                  \
    })
