// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace CommandLine {

/// What the program ends with; documented in docs/OPERATIONS.md.
enum class ExitCode {
    Ok = 0,
    BadUsage = 1,
    BadSettings = 2,
    Unreachable = 3,
    Rejected = 4,
    Conflict = 5,
    Undecided = 6,
    NotFound = 7,
};

struct Answer {
    int status { 0 };
    nlohmann::json body;
};

/// Talks to an entry's operators' API, one call at a time.
class Client {
public:
    Client(std::string address, uint16_t port, std::string token);

    /// @return nothing if the entry cannot be reached.
    std::optional<Answer> call(std::string const& method, std::string const& path, std::string const& body = {});

    /// Reads a stream of JSON lines until it ends, or until `on_line` answers false.
    bool stream(std::string const& path, std::function<bool(nlohmann::json const&)> const& on_line);

private:
    Transport::HttpCallRequest request(std::string const& method, std::string const& path) const;

    Core::EventLoop m_loop;
    std::string m_address;
    uint16_t m_port;
    std::string m_token;
};

/// The exit code for an answer of the API.
ExitCode exit_code_of(Answer const&);

}
