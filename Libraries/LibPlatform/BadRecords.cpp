// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/BadRecords.h>

#include <LibCore/Log.h>

namespace Platform {

BadRecords::BadRecords(Core::Metrics& metrics)
    : m_metrics(metrics)
{
}

bool BadRecords::remember_if_new(BadRecord const& bad)
{
    if (m_logged.size() >= max_logged || !m_logged.emplace(bad.key, bad.error.code).second)
        return false;
    if (m_logged.size() == max_logged)
        Core::log_event(Core::LogLevel::Warn, "bad_records_not_named", { { "named", std::to_string(max_logged) } });
    return true;
}

void BadRecords::report_record(BadRecord const& bad)
{
    std::string const reason = Core::error_name(bad.error.code);
    m_metrics.count("mountbarrow_bad_records_total", "reason=\"" + reason + "\"");
    if (remember_if_new(bad))
        Core::log_event(Core::LogLevel::Error, "bad_record", { { "key", bad.key }, { "revision", std::to_string(bad.revision) }, { "reason", reason }, { "detail", bad.error.detail } });
}

}
