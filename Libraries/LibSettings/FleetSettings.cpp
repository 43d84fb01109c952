// SPDX-License-Identifier: BSD-2-Clause
#include <LibSettings/FleetSettings.h>

#include <LibTransport/SocketAddress.h>
#include <arpa/inet.h>

namespace Settings {

Core::ErrorOr<void> check_socket_address(std::string const& path, char const* key, std::string const& address)
{
    auto const [ip, port] = Transport::split_address(address);
    in_addr parsed {};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1 || port == 0)
        return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": " + key + ": must be an IPv4 address and a port, written as IP:PORT");
    return {};
}

Core::ErrorOr<void> check_range(std::string const& path, char const* key, double value, double least, double most)
{
    if (value >= least && value <= most)
        return {};
    return Core::failure(Core::ErrorCode::WrongUnit, path + ": " + key + ": must be from " + std::to_string(least) + " to " + std::to_string(most));
}

Core::ErrorOr<void> check_own(std::string const& path, Schema::DirectEntrySettings const& settings)
{
    TRY(check_socket_address(path, "callers_address", settings.callers_address));
    TRY(check_socket_address(path, "readiness_address", settings.readiness_address));
    if (settings.control_address)
        TRY(check_socket_address(path, "control_address", *settings.control_address));
    if (settings.metrics_port)
        TRY(check_range(path, "metrics_port", static_cast<double>(*settings.metrics_port), least_port, largest_port));
    TRY(check_range(path, "bounds.retry_ratio", settings.bounds.retry_ratio, 0, 1));
    return check_range(path, "bounds.retry_window_s", settings.bounds.retry_window_s, 1, longest_bound_s);
}

Core::ErrorOr<void> check_own(std::string const& path, Schema::EngineAgentSettings const& settings)
{
    static constexpr double least_link = 0.1;
    static constexpr double largest_link = 1e6;
    TRY(check_socket_address(path, "engine_address", settings.engine_address));
    TRY(check_range(path, "chunk_port", static_cast<double>(settings.chunk_port), least_port, largest_port));
    return check_range(path, "link_megabits_per_second", settings.link_megabits_per_second, least_link, largest_link);
}

}
