// SPDX-License-Identifier: BSD-2-Clause
#include "DirectEntry.h"

#include "../../platform/HttpBlameRecords.h"
#include "../../platform/HttpEngine.h"
#include "../../platform/HttpFactLog.h"
#include "../../platform/HttpRequestHeads.h"
#include "../../platform/HttpVersionRecords.h"
#include <LibCore/Log.h>
#include <LibSettings/ProcessMain.h>

int main(int argc, char** argv)
{
    auto const command = Settings::parse_command(argc, argv, "Entry for callers: routes requests, applies limits and proxies them to backend servers");
    return Settings::run_process<Schema::DirectEntrySettings>(command, "mountbarrow-direct-entry", [](Core::EventLoop& loop, Schema::DirectEntrySettings const& settings) {
        DirectEntry::DirectEntry::PlatformParts parts;
        parts.facts.log = std::make_unique<PlatformAdapter::HttpFactLog>(loop, settings.platform_address, PlatformAdapter::expected_customer_keys(settings.platform_features.value_or(std::vector<std::string> {})));
        parts.facts.versions = std::make_unique<PlatformAdapter::HttpVersionRecords>(loop, settings.platform_address);
        parts.blames = std::make_unique<PlatformAdapter::HttpBlameRecords>(loop, settings.platform_address);
        parts.heads = std::make_unique<PlatformAdapter::HttpRequestHeads>();
        parts.origin = std::make_unique<PlatformAdapter::HttpOrigin>(loop);
        return DirectEntry::DirectEntry::create(loop, settings, std::move(parts));
    });
}
