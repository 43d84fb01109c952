// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Log.h>
#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <string>

namespace Settings {

/// Reads and checks the settings of an entry, the process that takes callers' requests. Fails with FileUnreadable, MalformedJson,
/// UnknownKey, WrongType, WrongUnit or ImpossibleSettings; the detail names the file, the key and the reason.
Core::ErrorOr<Schema::EntrySettings> load_entry(std::string const& path);

/// Reads and checks the settings of an agent, the process beside an engine. Fails like load_entry().
Core::ErrorOr<Schema::AgentSettings> load_agent(std::string const& path);

/// What a request with an operator's bearer token is allowed to do.
enum class OperatorRole {
    /// Read and watch.
    Reader,
    /// Read, watch and change.
    Operator,
};

/// Reads a file with a JSON object whose keys are bearer tokens and whose values are `"reader"` or `"operator"`. Fails with FileUnreadable,
/// MalformedJson or, for any other value, WrongType.
Core::ErrorOr<std::map<std::string, OperatorRole>> load_tokens(std::string const& path);

/// Returns an optional setting in milliseconds as a duration, or `fallback` if it is not set.
inline Core::Duration duration_or(std::optional<int64_t> const& milliseconds, Core::Duration fallback)
{
    return milliseconds ? Core::Duration(*milliseconds) : fallback;
}

/// Converts the log level of the settings; Info if it is not set.
Core::LogLevel log_level(std::optional<Schema::LogLevel> const&);

}
