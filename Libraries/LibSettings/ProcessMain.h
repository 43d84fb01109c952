// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Log.h>
#include <LibSchema/Json.h>
#include <LibSettings/FleetSettings.h>
#include <filesystem>
#include <iostream>
#include <string>

namespace Settings {

// Exit codes of a daemon.
inline constexpr int exit_ok = 0;
inline constexpr int exit_bad_settings = 2;
inline constexpr int exit_cannot_start = 3;

/// The parsed command line of a daemon.
struct DaemonCommand {
    std::string settings_path;
    /// Set by --check: the daemon checks its settings and exits.
    bool checks_only { false };
};

/// Parses the command line. Without --settings the path is taken from the environment variable MOUNTBARROW_SETTINGS. Exits the process on
/// an invalid command line and after --help and --version.
DaemonCommand parse_command(int argc, char** argv, char const* description);

/// Blocks SIGHUP while a process starts, because SIGHUP terminates a process that has no handler for it yet.
void block_reload_signal();

/// Unblocks SIGHUP and so delivers one that arrived meanwhile. To be called once a handler is installed.
void unblock_reload_signal();

/// Detects by its modification time that a file was rewritten, so that changed settings are loaded without a signal.
class FileWatch {
public:
    explicit FileWatch(std::string path);

    /// Whether the modification time changed since the last call or, at the first call, since construction. False while the file is
    /// missing.
    bool has_changed();

private:
    std::string m_path;
    std::filesystem::file_time_type m_written;
};

inline constexpr Core::Duration file_watch_interval { 2000 };

/// Prints an error to standard error and returns `code`.
inline int report_failure(char const* program, Core::Error const& error, int code)
{
    std::cerr << program << ": " << Core::error_name(error.code) << ": " << error.detail << '\n';
    return code;
}

/// Runs a daemon until its event loop stops, and returns the exit code of the process. Loads the settings of type T, and calls
/// `create(loop, settings)`, which returns an ErrorOr of a pointer to the service. SIGTERM and SIGINT call the service's drain(). SIGHUP
/// and a rewritten settings file call its reload() with the result of loading the settings again.
template<typename T, typename Create>
int run_process(DaemonCommand const& command, char const* program, Create const& create)
{
    block_reload_signal();
    FileWatch watch(command.settings_path);
    auto settings = load_fleet_settings<T>(command.settings_path);
    if (!settings.has_value())
        return report_failure(program, settings.error(), exit_bad_settings);
    if (command.checks_only)
        return exit_ok;
    Core::EventLoop loop;
    Core::configure_bounded_log(loop, std::string(program) + "." + settings->identity, settings->log_lines_per_second.value_or(Core::default_log_lines_per_second));
    auto service = create(loop, *settings);
    if (!service.has_value())
        return report_failure(program, service.error(), exit_cannot_start);
    loop.on_stop_signal([&] { (*service)->drain(); });
    auto const reload = [&] { (*service)->reload(load_fleet_settings<T>(command.settings_path)); };
    loop.on_reload_signal(reload);
    unblock_reload_signal();
    auto const watch_timer = loop.every(file_watch_interval, [&] {
        if (watch.has_changed())
            reload();
    });
    loop.run();
    Core::flush_log();
    return exit_ok;
}

}
