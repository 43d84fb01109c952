// SPDX-License-Identifier: BSD-2-Clause
#include "LoadRunner.h"
#include <iostream>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Sends an open-loop load to entries and prints a report as JSON", ' ', "0.1");
    TCLAP::MultiArg<std::string> entries("e", "entry", "Entry; may be given again", true, "IP:PORT", command);
    TCLAP::ValueArg<std::string> service("s", "service", "Service to call", true, "", "NAME", command);
    TCLAP::ValueArg<std::string> model("m", "model", "Model, for chat completions; without it plain calls are made", false, "", "NAME", command);
    TCLAP::ValueArg<double> rate("r", "rate", "Requests a second", false, 50, "RATE", command);
    TCLAP::ValueArg<double> seconds("n", "seconds", "Length", false, 10, "SECONDS", command);
    TCLAP::ValueArg<int64_t> deadline("d", "deadline-ms", "Deadline of a request", false, 5000, "MS", command);
    TCLAP::MultiArg<std::string> customers("c", "customer", "Customer; one of those given is taken at random, so one given twice is twice as large", false, "NAME", command);
    TCLAP::ValueArg<size_t> prefixes("", "prefixes", "Prompt prefixes in use", false, 16, "COUNT", command);
    TCLAP::ValueArg<double> keyed("", "keyed-share", "Share of plain calls with an idempotency key", false, 1, "SHARE", command);
    TCLAP::ValueArg<double> resend("", "resend-share", "Share of keyed calls sent a second time", false, 0, "SHARE", command);
    TCLAP::ValueArg<int> priority("", "priority", "Priority, 0 is most urgent", false, 4, "LEVEL", command);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed", false, 1, "SEED", command);
    command.parse(argc, argv);

    Load::LoadSettings settings;
    for (auto const& entry : entries.getValue()) {
        auto const colon = entry.find(':');
        if (colon == std::string::npos) {
            std::cerr << "mountbarrow-load: " << entry << ": not IP:PORT\n";
            return 1;
        }
        settings.entries.push_back({ entry.substr(0, colon), static_cast<uint16_t>(std::strtoul(entry.c_str() + colon + 1, nullptr, 10)) });
    }
    settings.service = service.getValue();
    settings.model = model.getValue();
    settings.rate = rate.getValue();
    settings.length = Core::Duration(static_cast<int64_t>(seconds.getValue() * 1000));
    settings.deadline = Core::Duration(deadline.getValue());
    settings.customers = customers.getValue();
    settings.prefixes = std::max<size_t>(1, prefixes.getValue());
    settings.keyed_share = keyed.getValue();
    settings.resend_share = resend.getValue();
    settings.priority = priority.getValue();
    settings.seed = seed.getValue();

    Core::EventLoop loop;
    Load::LoadRunner runner(loop, settings);
    std::cout << runner.run().dump(2) << '\n';
    return 0;
}
