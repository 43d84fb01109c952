// SPDX-License-Identifier: BSD-2-Clause
#include "FakeEngine.h"

#include <iostream>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Stands in for a backend server, in tests and the demo only", ' ', "0.1");
    TCLAP::ValueArg<std::string> address("", "address", "IP number to listen on", false, "127.0.0.1", "IP", command);
    TCLAP::ValueArg<uint16_t> port("", "port", "TCP port", true, 0, "PORT", command);
    TCLAP::SwitchArg plain("", "plain", "Be a plain service that counts its runs", command);
    TCLAP::ValueArg<int64_t> tokens("", "tokens", "Tokens of an answer", false, 20, "COUNT", command);
    TCLAP::ValueArg<int64_t> token("", "token-ms", "Time between tokens", false, 5, "MS", command);
    TCLAP::ValueArg<int64_t> prefill("", "prefill-ms", "Time to the first token with a cold prefix", false, 20, "MS", command);
    TCLAP::ValueArg<int64_t> load("", "load-ms", "Time a load takes behind the last byte", false, 100, "MS", command);
    TCLAP::ValueArg<int64_t> work("", "work-ms", "Time a plain request takes", false, 5, "MS", command);
    TCLAP::ValueArg<size_t> slots("", "slots", "Streams at once", false, 8, "COUNT", command);
    TCLAP::ValueArg<size_t> prefixes("", "cached-prefixes", "Prefixes the cache holds", false, 32, "COUNT", command);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of the faults", false, 1, "SEED", command);
    command.parse(argc, argv);

    StandIns::FakeEngineSettings settings;
    settings.address = address.getValue();
    settings.port = port.getValue();
    settings.is_plain = plain.getValue();
    settings.tokens = tokens.getValue();
    settings.token = Core::Duration(token.getValue());
    settings.prefill = Core::Duration(prefill.getValue());
    settings.load = Core::Duration(load.getValue());
    settings.work = Core::Duration(work.getValue());
    settings.slots = slots.getValue();
    settings.cached_prefixes = prefixes.getValue();
    settings.seed = seed.getValue();

    Core::EventLoop loop;
    auto engine = StandIns::FakeEngine::create(loop, settings);
    if (!engine.has_value()) {
        std::cerr << Core::error_name(engine.error().code) << ": " << engine.error().detail << '\n';
        return 1;
    }
    loop.on_stop_signal([&] { loop.stop(); });
    loop.run();
    return 0;
}
