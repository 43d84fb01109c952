// SPDX-License-Identifier: BSD-2-Clause
#include "FakePlatform.h"

#include <iostream>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Stands in for the platform, in tests and the demo only", ' ', "0.1");
    TCLAP::ValueArg<std::string> address("", "address", "IP number to listen on", false, "127.0.0.1", "IP", command);
    TCLAP::ValueArg<uint16_t> port("", "port", "TCP port", true, 0, "PORT", command);
    TCLAP::ValueArg<int64_t> origin("", "origin-bytes-per-second", "Limit of the origin's link; 0 for none", false, 0, "BYTES", command);
    TCLAP::ValueArg<double> appends("", "appends-per-second", "Appends the log takes", false, 500, "RATE", command);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of the faults", false, 1, "SEED", command);
    command.parse(argc, argv);

    Core::EventLoop loop;
    StandIns::FakePlatformSettings settings { address.getValue(), port.getValue(), origin.getValue(), appends.getValue(), seed.getValue() };
    auto platform = StandIns::FakePlatform::create(loop, settings);
    if (!platform.has_value()) {
        std::cerr << Core::error_name(platform.error().code) << ": " << platform.error().detail << '\n';
        return 1;
    }
    loop.on_stop_signal([&] { loop.stop(); });
    loop.run();
    return 0;
}
