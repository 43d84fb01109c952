// SPDX-License-Identifier: BSD-2-Clause
#include "Entry.h"
#include <LibCore/Log.h>
#include <LibSettings/Settings.h>
#include <iostream>
#include <tclap/CmdLine.h>

static constexpr int exit_ok = 0;
static constexpr int exit_bad_settings = 2;
static constexpr int exit_cannot_start = 3;

static int report_failure(Core::Error const& error, int code)
{
    std::cerr << "mountbarrow-entry: " << Core::error_name(error.code) << ": " << error.detail << '\n';
    return code;
}

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("The process that callers and operators talk to", ' ', "0.1");
    TCLAP::ValueArg<std::string> settings_path("s", "settings", "Settings file, JSON with comments", true, "", "FILE", command);
    TCLAP::SwitchArg check_only("c", "check", "Check the settings and exit", command);
    command.parse(argc, argv);

    auto settings = Settings::load_entry(settings_path.getValue());
    if (!settings.has_value())
        return report_failure(settings.error(), exit_bad_settings);
    if (check_only.getValue())
        return exit_ok;

    Core::configure_log("mountbarrow-entry." + settings->identity, Settings::log_level(settings->log_level), settings->log_file.value_or(""));
    Core::EventLoop loop;
    auto service = Entry::Entry::create(loop, *settings);
    if (!service.has_value())
        return report_failure(service.error(), exit_cannot_start);
    loop.on_stop_signal([&] { (*service)->drain(); });
    loop.run();
    return exit_ok;
}
