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

inline constexpr int exit_ok = 0;
inline constexpr int exit_bad_settings = 2;
inline constexpr int exit_cannot_start = 3;

/// What a daemon's command line says.
struct DaemonCommand {
    std::string settings_path;
    bool checks_only { false };
};

/// Reads the command line. Without --settings the path comes from the variable MOUNTBARROW_SETTINGS.
DaemonCommand parse_command(int argc, char** argv, char const* description);

/// Holds SIGHUP back while a process starts: unhandled, it would end it.
void hold_reload_signal();
/// Lets a SIGHUP that was held back through. To be called once it is handled.
void release_reload_signal();

/// Tells when a file was written anew: settings may change without a signal.
class FileWatch {
public:
    explicit FileWatch(std::string path);
    /// @return true if the file was written since the last question, or since the start.
    bool has_changed();

private:
    std::string m_path;
    std::filesystem::file_time_type m_written;
};

inline constexpr Core::Duration file_watch_interval { 2000 };

inline int report_failure(char const* program, Core::Error const& error, int code)
{
    std::cerr << program << ": " << Core::error_name(error.code) << ": " << error.detail << '\n';
    return code;
}

/// Runs a daemon: settings, loop, signals. `create` makes the service, which has drain() and reload().
template<typename T, typename Create>
int run_process(DaemonCommand const& command, char const* program, Create const& create)
{
    hold_reload_signal();
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
    release_reload_signal();
    auto const watch_timer = loop.every(file_watch_interval, [&] {
        if (watch.has_changed())
            reload();
    });
    loop.run();
    Core::flush_log();
    return exit_ok;
}

}
