// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/BadRecords.h>

#include <LibCore/Log.h>

namespace Platform {

BadRecords::BadRecords(Core::Metrics& metrics)
    : m_metrics(metrics)
{
}

bool BadRecords::remember(BadRecord const& bad)
{
    if (m_told.size() >= most_remembered || !m_told.emplace(bad.key, bad.error.code).second)
        return false;
    if (m_told.size() == most_remembered)
        Core::log_event(Core::LogLevel::Warn, "bad_records_not_named", { { "named", std::to_string(most_remembered) } });
    return true;
}

void BadRecords::note(BadRecord const& bad)
{
    std::string const reason = Core::error_name(bad.error.code);
    m_metrics.count("mountbarrow_bad_records_total", "reason=\"" + reason + "\"");
    if (remember(bad))
        Core::log_event(Core::LogLevel::Error, "bad_record", { { "key", bad.key }, { "revision", std::to_string(bad.revision) }, { "reason", reason }, { "detail", bad.error.detail } });
}

}
