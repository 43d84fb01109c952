// SPDX-License-Identifier: BSD-2-Clause
#include "EngineAgent.h"

#include "../../platform/HttpEngine.h"
#include <LibSettings/ProcessMain.h>

int main(int argc, char** argv)
{
    auto const command = Settings::parse_command(argc, argv, "The process beside an engine: keeps its weights");
    return Settings::run_process<Schema::EngineAgentSettings>(command, "mountbarrow-engine-agent", [](Core::EventLoop& loop, Schema::EngineAgentSettings const& settings) {
        EngineAgent::EngineAgent::PlatformParts parts;
        parts.engine = std::make_unique<PlatformAdapter::HttpEngine>(loop, settings.engine_address);
        parts.origin = std::make_unique<PlatformAdapter::HttpOrigin>(loop);
        return EngineAgent::EngineAgent::create(loop, settings, std::move(parts));
    });
}
