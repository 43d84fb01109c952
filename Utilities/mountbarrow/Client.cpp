// SPDX-License-Identifier: BSD-2-Clause
#include "Client.h"

namespace CommandLine {

static constexpr Core::Duration call_timeout { 20000 };
static constexpr Core::Duration stream_timeout { 3600000 };
static constexpr size_t max_answer_bytes = size_t { 64 } << 20;

Client::Client(std::string address, uint16_t port, std::string token)
    : m_address(std::move(address))
    , m_port(port)
    , m_token(std::move(token))
{
}

Transport::HttpCallRequest Client::request(std::string const& method, std::string const& path) const
{
    Transport::HttpCallRequest request;
    request.address = m_address;
    request.port = m_port;
    request.method = method;
    request.path = path;
    request.timeout = call_timeout;
    request.headers.emplace_back("Authorization", "Bearer " + m_token);
    return request;
}

std::optional<Answer> Client::call(std::string const& method, std::string const& path, std::string const& body)
{
    std::optional<Answer> result;
    Transport::HttpClient client(m_loop);
    auto call = request(method, path);
    call.body = body;
    call.max_body_bytes = max_answer_bytes;
    client.call(call, [&](auto answer) {
        if (answer.has_value())
            result = Answer { answer->status, nlohmann::json::parse(answer->body, nullptr, false) };
        m_loop.stop();
    });
    m_loop.run();
    return result;
}

bool Client::stream(std::string const& path, std::function<bool(nlohmann::json const&)> const& on_line)
{
    bool is_reached = false;
    std::string pending;
    auto call = request("GET", path);
    call.timeout = stream_timeout;
    call.max_body_bytes.reset();
    auto running = Transport::HttpCall::start(m_loop, call,
        { .head = [&](int status, auto const&) { is_reached = status == 200; },
            .data = [&](std::string_view data) {
                pending += data;
                for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
                    auto const line = nlohmann::json::parse(pending.substr(0, end), nullptr, false);
                    pending.erase(0, end + 1);
                    if (!line.is_discarded() && !on_line(line))
                        m_loop.stop();
                } },
            .done = [&] { m_loop.stop(); },
            .failed = [&](auto) { m_loop.stop(); } });
    m_loop.run();
    return is_reached;
}

ExitCode exit_code_of(Answer const& answer)
{
    if (answer.status < 300)
        return ExitCode::Ok;
    if (answer.status == 404)
        return ExitCode::NotFound;
    if (answer.status == 409)
        return ExitCode::Conflict;
    if (answer.status == 503 || answer.status == 504)
        return ExitCode::Undecided;
    return ExitCode::Rejected;
}

}
