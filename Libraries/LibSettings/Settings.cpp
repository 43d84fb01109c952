// SPDX-License-Identifier: BSD-2-Clause
#include <LibSettings/Settings.h>

#include <LibSchema/Json.h>
#include <arpa/inet.h>
#include <fstream>

namespace Settings {

static constexpr int64_t max_port = 65535;

static Core::ErrorOr<void> check_address(std::string const& path, char const* key, std::string const& address)
{
    in_addr parsed {};
    if (inet_pton(AF_INET, address.c_str(), &parsed) == 1)
        return {};
    return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": " + key + ": must be an IPv4 address");
}

static Core::ErrorOr<void> check_port(std::string const& path, char const* key, int64_t port, int64_t minimum)
{
    if (port >= minimum && port <= max_port)
        return {};
    return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": " + key + ": must be a TCP port number, at most 65535");
}

static Core::ErrorOr<void> check_minimum(std::string const& path, char const* key, std::optional<int64_t> const& value, int64_t minimum)
{
    if (!value || *value >= minimum)
        return {};
    return Core::failure(Core::ErrorCode::WrongUnit, path + ": " + key + ": must be at least " + std::to_string(minimum));
}

/// Checks the settings that entries and agents share.
template<typename T>
static Core::ErrorOr<void> check_common(std::string const& path, T const& settings)
{
    if (settings.identity.empty())
        return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": identity: must not be empty");
    TRY(check_address(path, "address", settings.address));
    TRY(check_address(path, "platform_address", settings.platform_address));
    TRY(check_port(path, "http_port", settings.http_port, 0));
    TRY(check_port(path, "platform_port", settings.platform_port, 1));
    if (!settings.key_file)
        return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": key_file: missing, but every link needs a key");
    TRY(check_minimum(path, "list_poll_ms", settings.list_poll_ms, 10));
    TRY(check_minimum(path, "log_poll_ms", settings.log_poll_ms, 10));
    TRY(check_minimum(path, "lease_ms", settings.lease_ms, 300));
    TRY(check_minimum(path, "list_lag_ms", settings.list_lag_ms, 0));
    TRY(check_minimum(path, "clock_bound_ms", settings.clock_bound_ms, 0));
    TRY(check_minimum(path, "drain_ms", settings.drain_ms, 0));
    TRY(check_minimum(path, "resume_ms", settings.resume_ms, 0));
    if (settings.list_poll_ms && settings.lease_ms && *settings.list_poll_ms >= *settings.lease_ms)
        return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": list_poll_ms must be less than lease_ms: otherwise the lease expires between two reads of the list");
    return {};
}

Core::ErrorOr<Schema::EntrySettings> load_entry(std::string const& path)
{
    auto settings = TRY(Schema::from_file<Schema::EntrySettings>(path));
    TRY(check_common(path, settings));
    TRY(check_minimum(path, "max_header_bytes", settings.max_header_bytes, 1024));
    TRY(check_minimum(path, "max_body_bytes", settings.max_body_bytes, 1));
    TRY(check_minimum(path, "request_memory_bytes", settings.request_memory_bytes, 1));
    TRY(check_minimum(path, "max_caller_connections", settings.max_caller_connections, 1));
    TRY(check_minimum(path, "idle_timeout_ms", settings.idle_timeout_ms, 1000));
    TRY(check_minimum(path, "default_deadline_ms", settings.default_deadline_ms, 1));
    TRY(check_minimum(path, "links_per_service", settings.links_per_service, 1));
    TRY(check_minimum(path, "retention_ms", settings.retention_ms, 1000));
    if (settings.retry_ratio && (*settings.retry_ratio < 0 || *settings.retry_ratio > 1))
        return Core::failure(Core::ErrorCode::WrongUnit, path + ": retry_ratio: must be from 0 to 1");
    return settings;
}

Core::ErrorOr<Schema::AgentSettings> load_agent(std::string const& path)
{
    auto settings = TRY(Schema::from_file<Schema::AgentSettings>(path));
    TRY(check_common(path, settings));
    TRY(check_address(path, "backend_address", settings.backend_address));
    TRY(check_port(path, "backend_port", settings.backend_port, 1));
    TRY(check_port(path, "link_port", settings.link_port, 0));
    TRY(check_minimum(path, "capacity", settings.capacity, 1));
    TRY(check_minimum(path, "upload_bytes_per_second", settings.upload_bytes_per_second, 0));
    TRY(check_minimum(path, "download_bytes_per_second", settings.download_bytes_per_second, 0));
    TRY(check_minimum(path, "neighbours", settings.neighbours, 1));
    TRY(check_minimum(path, "origin_patience_ms", settings.origin_patience_ms, 0));
    TRY(check_minimum(path, "stall_ms", settings.stall_ms, 100));
    TRY(check_minimum(path, "fetches_in_flight", settings.fetches_in_flight, 1));
    TRY(check_minimum(path, "seeders", settings.seeders, 1));
    TRY(check_minimum(path, "uploads_at_once", settings.uploads_at_once, 1));
    TRY(check_minimum(path, "uploads_waiting", settings.uploads_waiting, 0));
    TRY(check_minimum(path, "once_record_bytes", settings.once_record_bytes, 4096));
    TRY(check_minimum(path, "key_lifetime_ms", settings.key_lifetime_ms, 1000));
    if (settings.service.empty())
        return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": service: must not be empty");
    return settings;
}

Core::ErrorOr<std::map<std::string, OperatorRole>> load_tokens(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        return Core::failure(Core::ErrorCode::FileUnreadable, path);
    auto const value = nlohmann::json::parse(file, nullptr, false, true);
    if (value.is_discarded() || !value.is_object())
        return Core::failure(Core::ErrorCode::MalformedJson, path + ": not a JSON object");
    std::map<std::string, OperatorRole> tokens;
    for (auto const& [token, role] : value.items()) {
        if (role == "operator")
            tokens[token] = OperatorRole::Operator;
        else if (role == "reader")
            tokens[token] = OperatorRole::Reader;
        else
            return Core::failure(Core::ErrorCode::WrongType, path + ": every role must be \"reader\" or \"operator\"");
    }
    return tokens;
}

Core::LogLevel log_level(std::optional<Schema::LogLevel> const& level)
{
    switch (level.value_or(Schema::LogLevel::Info)) {
    case Schema::LogLevel::Debug:
        return Core::LogLevel::Debug;
    case Schema::LogLevel::Info:
        return Core::LogLevel::Info;
    case Schema::LogLevel::Warn:
        return Core::LogLevel::Warn;
    case Schema::LogLevel::Error:
        return Core::LogLevel::Error;
    }
    return Core::LogLevel::Info;
}

}
