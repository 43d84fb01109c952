// SPDX-License-Identifier: BSD-2-Clause
#include "Client.h"
#include <LibCore/Log.h>
#include <LibSettings/Settings.h>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace CommandLine {

struct Options {
    std::string file;
    std::string address;
    uint16_t port { 0 };
    std::string token;
    bool wants_json { false };
    bool until_ready { false };
};

static int finish(ExitCode code)
{
    return static_cast<int>(code);
}

static int report(std::optional<Answer> const& answer, char const* what)
{
    if (!answer) {
        std::cerr << "mountbarrow: the entry cannot be reached\n";
        return finish(ExitCode::Unreachable);
    }
    auto const code = exit_code_of(*answer);
    if (code == ExitCode::Ok)
        std::cout << what << ' ' << answer->body.dump() << '\n';
    else
        std::cerr << "mountbarrow: " << what << ": " << answer->body.dump() << '\n';
    return finish(code);
}

/// The revision that a change to a resource must name: the present one, or -1.
static std::optional<int64_t> present_revision(Client& client, std::string const& path)
{
    auto const answer = client.call("GET", path);
    if (!answer || (answer->status != 200 && answer->status != 404))
        return {};
    return answer->status == 404 ? -1 : answer->body.value("revision", int64_t { -1 });
}

static int apply_one(Client& client, nlohmann::json const& resource)
{
    bool const is_complete = resource.is_object() && resource.contains("kind") && resource.contains("name") && resource.contains("spec");
    if (!is_complete) {
        std::cerr << "mountbarrow: a resource needs kind, name and spec\n";
        return finish(ExitCode::BadUsage);
    }
    auto const name = resource["kind"].get<std::string>() + "/" + resource["name"].get<std::string>();
    auto const path = "/api/v1/" + name;
    std::optional<int64_t> expected;
    if (resource.contains("expected_revision"))
        expected = resource["expected_revision"].get<int64_t>();
    else
        expected = present_revision(client, path);
    if (!expected)
        return report({}, name.c_str());
    auto const answer = client.call("PUT", path + "?expected_revision=" + std::to_string(*expected), resource["spec"].dump());
    return report(answer, ("applied " + name).c_str());
}

static int apply(Client& client, Options const& options)
{
    std::ifstream file(options.file);
    auto const value = file ? nlohmann::json::parse(file, nullptr, false, true) : nlohmann::json();
    if (!value.is_object() || !value.contains("resources") || !value["resources"].is_array()) {
        std::cerr << "mountbarrow: " << options.file << ": needs a JSON object with a list \"resources\"\n";
        return finish(ExitCode::BadUsage);
    }
    for (auto const& resource : value["resources"]) {
        int const code = apply_one(client, resource);
        if (code != 0)
            return code;
    }
    return finish(ExitCode::Ok);
}

static int get(Client& client, std::vector<std::string> const& words)
{
    if (words.size() < 2)
        return finish(ExitCode::BadUsage);
    auto const path = "/api/v1/" + words[1] + (words.size() > 2 ? "/" + words[2] : "");
    auto const answer = client.call("GET", path);
    if (!answer || answer->status != 200)
        return report(answer, "get");
    std::cout << answer->body.dump(2) << '\n';
    return finish(ExitCode::Ok);
}

static int remove(Client& client, std::vector<std::string> const& words)
{
    if (words.size() < 3)
        return finish(ExitCode::BadUsage);
    auto const path = "/api/v1/" + words[1] + "/" + words[2];
    auto const revision = present_revision(client, path);
    if (!revision)
        return report({}, "delete");
    return report(client.call("DELETE", path + "?expected_revision=" + std::to_string(*revision)), "deleted");
}

static std::string bar(double share)
{
    static constexpr int width = 30;
    int const filled = static_cast<int>(share * width);
    return "[" + std::string(static_cast<size_t>(filled), '#') + std::string(static_cast<size_t>(width - filled), '.') + "]";
}

static void print_status(nlohmann::json const& status, bool is_terminal)
{
    auto const total = status.value("chunks_total", int64_t { 0 });
    double const share = total > 0 ? static_cast<double>(status.value("chunks_held", int64_t { 0 })) / static_cast<double>(total) : 0;
    if (is_terminal)
        std::cout << '\r' << bar(share) << ' ';
    std::cout << status.value("rollout", "") << " revision " << status.value("revision", int64_t { 0 }) << " ready " << status.value("ready", int64_t { 0 }) << '/' << status.value("wanted", int64_t { 0 })
              << " transferring " << status.value("transferring", int64_t { 0 }) << " loading " << status.value("loading", int64_t { 0 }) << " failed " << status.value("failed", int64_t { 0 })
              << " origin copies " << status.value("origin_copies", 0.0);
    if (status.contains("time_to_all_ms"))
        std::cout << " time to all " << status["time_to_all_ms"] << " ms";
    if (is_terminal)
        std::cout << "   " << std::flush;
    else
        std::cout << '\n'
                  << std::flush;
}

static int watch(Client& client, std::vector<std::string> const& words, Options const& options)
{
    std::string path = "/api/v1/watch?";
    if (words.size() > 1)
        path += "kind=" + words[1];
    if (words.size() > 2)
        path += "&name=" + words[2];
    bool const is_terminal = isatty(STDOUT_FILENO) != 0;
    bool has_ended = false;
    bool const is_reached = client.stream(path, [&](nlohmann::json const& event) {
        auto const type = event.value("type", "");
        if (options.wants_json)
            std::cout << event.dump() << std::endl;
        else if (type == "status")
            print_status(event["status"], is_terminal);
        else
            std::cout << (is_terminal ? "\n" : "") << type << ' ' << event.value("kind", "") << '/' << event.value("name", "") << " revision " << event.value("revision", int64_t { 0 }) << std::endl;
        bool const is_all_ready = type == "status" && event["status"].contains("time_to_all_ms");
        has_ended = options.until_ready && is_all_ready;
        return !has_ended;
    });
    if (is_terminal)
        std::cout << '\n';
    return finish(is_reached ? ExitCode::Ok : ExitCode::Unreachable);
}

static int check_settings(std::vector<std::string> const& words)
{
    if (words.size() < 4 || words[1] != "check" || (words[2] != "entry" && words[2] != "agent"))
        return finish(ExitCode::BadUsage);
    Core::ErrorOr<void> checked;
    if (words[2] == "entry")
        checked = Settings::load_entry(words[3]).map([](auto const&) {});
    else
        checked = Settings::load_agent(words[3]).map([](auto const&) {});
    if (checked.has_value())
        return finish(ExitCode::Ok);
    std::cerr << "mountbarrow: " << Core::error_name(checked.error().code) << ": " << checked.error().detail << '\n';
    return finish(ExitCode::BadSettings);
}

static int run(std::vector<std::string> const& words, Options const& options)
{
    auto const command = words.empty() ? std::string() : words[0];
    if (command == "settings")
        return check_settings(words);
    Client client(options.address, options.port, options.token);
    if (command == "apply")
        return apply(client, options);
    if (command == "get")
        return get(client, words);
    if (command == "watch")
        return watch(client, words, options);
    if (command == "delete")
        return remove(client, words);
    if (command == "status")
        return report(client.call("GET", "/api/v1/status"), "status");
    std::cerr << "mountbarrow: commands are apply, get, watch, delete, status and settings check\n";
    return finish(ExitCode::BadUsage);
}

static std::string read_token(std::string const& path)
{
    std::ifstream file(path);
    std::string token;
    std::getline(file, token);
    return token;
}

}

int main(int argc, char** argv)
{
    using namespace CommandLine;
    TCLAP::CmdLine command("Drives a mountbarrow deployment: apply -f FILE | get KIND [NAME] | watch [KIND [NAME]] | delete KIND NAME | status | settings check entry|agent FILE", ' ', "0.1");
    TCLAP::ValueArg<std::string> file("f", "file", "Resources to apply, JSON with comments", false, "", "FILE", command);
    TCLAP::ValueArg<std::string> entry("e", "entry", "Entry to talk to", false, "127.0.0.1:8080", "IP:PORT", command);
    TCLAP::ValueArg<std::string> token_file("t", "token-file", "File with the bearer token", false, "", "FILE", command);
    TCLAP::SwitchArg json("j", "json", "Print events as JSON lines", command);
    TCLAP::SwitchArg until_ready("u", "until-ready", "End a watch once all copies serve", command);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its words", true, "COMMAND", command);
    command.parse(argc, argv);
    Core::configure_log("mountbarrow", Core::LogLevel::Warn);

    Options options;
    auto const colon = entry.getValue().find(':');
    options.address = entry.getValue().substr(0, colon);
    options.port = colon == std::string::npos ? 0 : static_cast<uint16_t>(std::strtoul(entry.getValue().c_str() + colon + 1, nullptr, 10));
    options.file = file.getValue();
    options.token = read_token(token_file.getValue());
    options.wants_json = json.getValue();
    options.until_ready = until_ready.getValue();
    return run(words.getValue(), options);
}
