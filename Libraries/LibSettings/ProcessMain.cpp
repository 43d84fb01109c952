// SPDX-License-Identifier: BSD-2-Clause
#include <LibSettings/ProcessMain.h>

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

}
