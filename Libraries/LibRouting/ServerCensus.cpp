// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/ServerCensus.h>

#include <LibRouting/ServerTable.h>
#include <algorithm>

namespace Routing {

std::string ServerCensus::to_text() const
{
    std::string text;
    auto const add = [&text](char const* name, std::string const& value) {
        if (!text.empty())
            text += ' ';
        text += name;
        text += '=';
        text += value;
    };
    add("open", std::to_string(open));
    add("full", std::to_string(full));
    add("silent", std::to_string(silent));
    add("outdated", std::to_string(outdated));
    add("empty", std::to_string(empty));
    add("loading", std::to_string(loading));
    add("suspended", std::to_string(suspended));
    add("leaving", std::to_string(leaving));
    add("pace", std::to_string(least_pace) + ".." + std::to_string(greatest_pace));
    return text;
}

ServerCensus ServerTable::census(ServerRequirements const& requirements, Core::Time now) const
{
    ServerCensus census;
    for (auto const& [id, server] : m_servers) {
        if (!server.is_selectable || server.record.service != requirements.service)
            continue;
        auto const* report = reported(server, now);
        auto const version = version_of(server, now);
        bool const is_engine = engine_service(server.record.service) != nullptr;
        if (is_leaving(server))
            census.leaving += 1;
        else if (now < server.suspended_until)
            census.suspended += 1;
        else if (report && report->state.is_busy)
            census.loading += 1;
        else if (is_engine && version == 0)
            census.empty += 1;
        else if (is_engine && requirements.required_version && version < *requirements.required_version)
            census.outdated += 1;
        else if (!is_usable(server, requirements, now))
            census.silent += 1;
        else {
            (has_free_slot_at(server, now) ? census.open : census.full) += 1;
            auto const pace = report ? report->state.pace : 1;
            census.least_pace = census.least_pace == 0 ? pace : std::min(census.least_pace, pace);
            census.greatest_pace = std::max(census.greatest_pace, pace);
        }
    }
    return census;
}

}
