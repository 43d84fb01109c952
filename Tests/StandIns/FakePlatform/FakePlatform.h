// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibRouting/Limits.h>
#include <LibSchema/Generated.h>
#include <LibTransport/HttpServer.h>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace StandIns {

struct FakePlatformSettings {
    std::string address { "127.0.0.1" };
    uint16_t port { 0 };
    int64_t origin_bytes_per_second { 0 };
    double appends_per_second { 500 };
    uint64_t seed { 1 };
};

/// Stands in for the platform in tests and the demo: the log, the list of instances, and the origin of weights, with faults.
class FakePlatform {
public:
    static Core::ErrorOr<std::unique_ptr<FakePlatform>> create(Core::EventLoop&, FakePlatformSettings);

    uint16_t port() const { return m_server->port(); }

private:
    FakePlatform(Core::EventLoop&, FakePlatformSettings);

    void handle(std::shared_ptr<Transport::HttpExchange> const&);
    void read_log(Transport::HttpExchange&);
    void append(std::shared_ptr<Transport::HttpExchange> const&);
    void take_append(Transport::HttpExchange&, std::string body);
    void read_list(Transport::HttpExchange&);
    void change_list(Transport::HttpExchange&, std::string const& id);
    void create_model(Transport::HttpExchange&);
    void serve_chunk(Transport::HttpExchange&, std::string const& digest);
    void set_faults(Transport::HttpExchange&);
    void publish_list();
    std::string make_chunk(int64_t seed, int64_t number, int64_t bytes);

    Core::EventLoop& m_loop;
    FakePlatformSettings m_settings;
    std::unique_ptr<Transport::HttpServer> m_server;
    Transport::RateLimit m_origin_limit;
    Routing::TokenBucket m_append_rate;
    std::mt19937_64 m_random;

    int64_t m_first_retained { 0 };
    std::deque<std::string> m_log;
    std::map<std::string, Schema::Instance> m_instances;
    // The lists that were published, with their times, so that readers can be shown an older one.
    std::deque<std::pair<Core::Time, Schema::Members>> m_lists;
    std::map<std::string, std::shared_ptr<std::string const>> m_chunks;
    int64_t m_origin_bytes { 0 };
    Schema::WeightsFaults m_faults;
    std::vector<std::unique_ptr<Core::Timer>> m_delays;
};

}
