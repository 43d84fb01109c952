// SPDX-License-Identifier: BSD-2-Clause
#include <LibSettings/ProcessMain.h>

#include <csignal>
#include <cstdlib>
#include <tclap/CmdLine.h>

namespace Settings {

static constexpr char const* settings_variable = "MOUNTBARROW_SETTINGS";

DaemonCommand parse_command(int argc, char** argv, char const* description)
{
    TCLAP::CmdLine command(description, ' ', "0.2");
    TCLAP::ValueArg<std::string> settings_path("s", "settings", "Settings file, JSON with comments", false, "", "FILE", command);
    TCLAP::SwitchArg check_only("c", "check", "Check the settings and exit", command);
    command.parse(argc, argv);
    DaemonCommand result { settings_path.getValue(), check_only.getValue() };
    char const* path = std::getenv(settings_variable);
    if (result.settings_path.empty() && path)
        result.settings_path = path;
    return result;
}

static void set_reload_signal(int operation)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigprocmask(operation, &signals, nullptr);
}

void block_reload_signal()
{
    set_reload_signal(SIG_BLOCK);
}

void unblock_reload_signal()
{
    set_reload_signal(SIG_UNBLOCK);
}

static std::filesystem::file_time_type write_time(std::string const& path)
{
    std::error_code error;
    auto const time = std::filesystem::last_write_time(path, error);
    return error ? std::filesystem::file_time_type::min() : time;
}

FileWatch::FileWatch(std::string path)
    : m_path(std::move(path))
    , m_written(write_time(m_path))
{
}

bool FileWatch::has_changed()
{
    auto const written = write_time(m_path);
    // A missing file does not count as a change: it may be missing for a moment while it is replaced.
    if (written == m_written || written == std::filesystem::file_time_type::min())
        return false;
    m_written = written;
    return true;
}

}
