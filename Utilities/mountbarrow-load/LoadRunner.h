// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibTransport/HttpClient.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace Load {

struct Target {
    std::string address;
    uint16_t port { 0 };
};

struct LoadSettings {
    std::vector<Target> entries;
    std::string service;
    /// A model for chat completions; empty for calls to a plain service.
    std::string model;
    /// Requests a second, open loop: none waits for another.
    double rate { 50 };
    Core::Duration length { 10000 };
    Core::Duration deadline { 5000 };
    std::vector<std::string> customers;
    size_t prefixes { 16 };
    /// Share (0 to 1) of plain calls that carry an idempotency key and may not be repeated.
    double keyed_share { 1 };
    /// Share of keyed calls that are sent a second time, to another entry, as a caller would that lost patience.
    double resend_share { 0 };
    int priority { 4 };
    uint64_t seed { 1 };
};

/// Sends an open-loop load and tells what became of every request.
class LoadRunner {
public:
    LoadRunner(Core::EventLoop&, LoadSettings);

    /// Runs to the end and returns the report.
    nlohmann::json run();

private:
    struct Running {
        std::unique_ptr<Transport::HttpCall> call;
        Core::Time started { 0 };
        std::string body;
        std::string id;
        std::string customer;
        std::string entry;
        int status { 0 };
        bool has_first_byte { false };
    };

    void send_due();
    void send_one(std::string const& key, Target const&);
    Transport::HttpCallRequest make_request(Running&, std::string const& key, Target const&);
    void finish(uint64_t id, std::string const& failure);
    bool is_whole(Running const&) const;
    void note_call(std::string const& id, std::string const& outcome);
    void note_failure(Running const&, std::string const& failure);
    nlohmann::json report() const;

    Core::EventLoop& m_loop;
    LoadSettings m_settings;
    std::mt19937_64 m_random;
    Core::Time m_started { 0 };
    uint64_t m_sent { 0 };
    uint64_t m_next { 1 };
    std::map<uint64_t, std::unique_ptr<Running>> m_running;
    std::map<std::string, uint64_t> m_outcomes;
    std::map<std::string, uint64_t> m_reasons;
    uint64_t m_not_whole { 0 };
    // The first calls without an answer, each with what tells why.
    nlohmann::json m_failures = nlohmann::json::array();
    // What became of each call, by call id: a plain service must not have run one twice, nor one that was not run.
    std::map<std::string, std::string> m_calls;
    Core::Metrics m_metrics;
    std::unique_ptr<Core::Timer> m_timer;
};

}
