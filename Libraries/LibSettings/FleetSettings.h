// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibSchema/Generated.h>
#include <LibSchema/Json.h>
#include <string>

namespace Settings {

/// Checks that a setting is an IPv4 address and a port, written as IP:PORT. Fails with ImpossibleSettings; the detail names the file `path`
/// and the key.
Core::ErrorOr<void> check_socket_address(std::string const& path, char const* key, std::string const& address);

/// Checks that a setting lies in a range, both ends included. Fails with WrongUnit; the detail names the file `path`, the key and the
/// range.
Core::ErrorOr<void> check_range(std::string const& path, char const* key, double value, double minimum, double maximum);

/// Checks the settings that only one kind of daemon has, with the same errors as check_socket_address() and check_range().
Core::ErrorOr<void> check_daemon_settings(std::string const& path, Schema::DirectEntrySettings const&);
Core::ErrorOr<void> check_daemon_settings(std::string const& path, Schema::EngineAgentSettings const&);

// The limits of port numbers, and the longest durations that settings may have, in milliseconds and in seconds.
inline constexpr double min_port = 1;
inline constexpr double max_port = 65535;
inline constexpr double max_duration_ms = 3600000;
inline constexpr double max_duration_s = 3600;

/// Reads and checks a daemon's settings file of type T, JSON with comments. Fails with FileUnreadable, MalformedJson, UnknownKey,
/// WrongType, WrongUnit or ImpossibleSettings; the detail names the file, the key and the reason.
template<typename T>
Core::ErrorOr<T> load_fleet_settings(std::string const& path)
{
    auto settings = TRY(Schema::from_file<T>(path));
    if (settings.identity.empty())
        return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": identity: must not be empty");
    if (settings.key.empty())
        return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": key: must not be empty, because every link needs a key");
    TRY(check_socket_address(path, "platform_address", settings.platform_address));
    TRY(check_range(path, "link_port", static_cast<double>(settings.link_port), min_port, max_port));
    TRY(check_range(path, "bounds.version_ms", static_cast<double>(settings.bounds.version_ms), 1, max_duration_ms));
    TRY(check_range(path, "bounds.drain_ms", static_cast<double>(settings.bounds.drain_ms), 1, max_duration_ms));
    TRY(check_range(path, "bounds.grace_s", settings.bounds.grace_s, 0, max_duration_s));
    TRY(check_daemon_settings(path, settings));
    return settings;
}

}
