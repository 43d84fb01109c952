// SPDX-License-Identifier: BSD-2-Clause
#include "AnswerStatements.h"

#include <LibCore/Log.h>

namespace DirectEntry {

static constexpr int status_unavailable = 503;

static void record_limit(Core::Metrics& metrics, std::string const& request_id, std::string const& server, Platform::BackendHead const& head)
{
    if (head.unreadable_limit) {
        metrics.count("mountbarrow_unreadable_server_limits_total");
        Core::log_event(Core::LogLevel::Warn, "server_limit_unreadable", { { "server", server }, { "text", *head.unreadable_limit } });
    }
    if (head.max_requests_per_second) {
        metrics.count("mountbarrow_server_limits_stated_total");
        Core::log_event(Core::LogLevel::Info, "server_limit_stated", { { "request", request_id }, { "server", server }, { "per_second", std::to_string(*head.max_requests_per_second) } });
    }
}

static void record_rest(Core::Metrics& metrics, std::string const& request_id, std::string const& server, Platform::BackendHead const& head)
{
    if (head.unreadable_retry_after) {
        metrics.count("mountbarrow_unreadable_server_rests_total");
        Core::log_event(Core::LogLevel::Warn, "server_rest_unreadable", { { "server", server }, { "text", *head.unreadable_retry_after } });
    }
    if (head.retry_after) {
        metrics.count("mountbarrow_server_rests_asked_total");
        Core::log_event(Core::LogLevel::Info, "server_rest_asked", { { "request", request_id }, { "server", server }, { "for_ms", std::to_string(head.retry_after->count()) } });
    }
}

Routing::ServerStatements record_statements(Core::Metrics& metrics, std::string const& request_id, std::string const& server, Platform::BackendHead const& head)
{
    Routing::ServerStatements statements;
    record_limit(metrics, request_id, server, head);
    statements.max_requests_per_second = head.max_requests_per_second;
    statements.has_unreadable_limit = head.unreadable_limit.has_value();
    // Only a server that turns the request away asks for rest: the header of any other answer is for the caller.
    if (head.status == status_unavailable) {
        record_rest(metrics, request_id, server, head);
        statements.rest = head.retry_after;
    }
    if (head.is_leaving) {
        metrics.count("mountbarrow_servers_leaving_stated_total");
        Core::log_event(Core::LogLevel::Info, "server_leaving_stated", { { "request", request_id }, { "server", server } });
    }
    statements.is_leaving = head.is_leaving;
    return statements;
}

}
