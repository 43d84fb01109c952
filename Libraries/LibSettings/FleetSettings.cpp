// SPDX-License-Identifier: BSD-2-Clause
#include <LibSettings/FleetSettings.h>

#include <LibTransport/SocketAddress.h>
#include <arpa/inet.h>

namespace Settings {

static constexpr double max_memory_bytes = 1e12;
static constexpr double max_connections = 1e6;

Core::ErrorOr<void> check_socket_address(std::string const& path, char const* key, std::string const& address)
{
    auto const [ip, port] = Transport::split_address(address);
    in_addr parsed {};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1 || port == 0)
        return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": " + key + ": must be an IPv4 address and a port, written as IP:PORT");
    return {};
}

Core::ErrorOr<void> check_range(std::string const& path, char const* key, double value, double minimum, double maximum)
{
    if (value >= minimum && value <= maximum)
        return {};
    return Core::failure(Core::ErrorCode::WrongUnit, path + ": " + key + ": must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
}

Core::ErrorOr<void> check_daemon_settings(std::string const& path, Schema::DirectEntrySettings const& settings)
{
    TRY(check_socket_address(path, "callers_address", settings.callers_address));
    TRY(check_socket_address(path, "readiness_address", settings.readiness_address));
    if (settings.control_address)
        TRY(check_socket_address(path, "control_address", *settings.control_address));
    if (settings.metrics_port)
        TRY(check_range(path, "metrics_port", static_cast<double>(*settings.metrics_port), min_port, max_port));
    if (settings.request_memory_bytes)
        TRY(check_range(path, "request_memory_bytes", static_cast<double>(*settings.request_memory_bytes), 1, max_memory_bytes));
    if (settings.max_caller_connections)
        TRY(check_range(path, "max_caller_connections", static_cast<double>(*settings.max_caller_connections), 1, max_connections));
    if (settings.bounds.heartbeat_ms)
        TRY(check_range(path, "bounds.heartbeat_ms", static_cast<double>(*settings.bounds.heartbeat_ms), 1, max_duration_s * 1000));
    TRY(check_range(path, "bounds.retry_ratio", settings.bounds.retry_ratio, 0, 1));
    return check_range(path, "bounds.retry_window_s", settings.bounds.retry_window_s, 1, max_duration_s);
}

Core::ErrorOr<void> check_daemon_settings(std::string const& path, Schema::EngineAgentSettings const& settings)
{
    static constexpr double min_link_rate = 0.1;
    static constexpr double max_link_rate = 1e6;
    TRY(check_socket_address(path, "engine_address", settings.engine_address));
    TRY(check_range(path, "chunk_port", static_cast<double>(settings.chunk_port), min_port, max_port));
    return check_range(path, "link_megabits_per_second", settings.link_megabits_per_second, min_link_rate, max_link_rate);
}

}
