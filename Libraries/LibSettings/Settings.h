// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Log.h>
#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <map>
#include <string>

namespace Settings {

/// Reads and checks the settings of an entry.
/// @return FileUnreadable, MalformedJson, UnknownKey, WrongType, WrongUnit or ImpossibleSettings; the detail names the file, the key and the reason.
Core::ErrorOr<Schema::EntrySettings> load_entry(std::string const& path);

/// Reads and checks the settings of an agent; errors as for load_entry().
Core::ErrorOr<Schema::AgentSettings> load_agent(std::string const& path);

/// What a bearer of an operators' token may do.
enum class OperatorRole {
    /// Read and watch.
    Reader,
    /// Read, watch and change.
    Operator,
};

/// Reads a JSON object of bearer tokens to `"reader"` or `"operator"`.
Core::ErrorOr<std::map<std::string, OperatorRole>> load_tokens(std::string const& path);

/// A setting in milliseconds, or what holds without it.
inline Core::Duration duration_or(std::optional<int64_t> const& milliseconds, Core::Duration fallback)
{
    return milliseconds ? Core::Duration(*milliseconds) : fallback;
}

/// The log level named in settings; `info` if none is.
Core::LogLevel log_level(std::optional<Schema::LogLevel> const&);

}
