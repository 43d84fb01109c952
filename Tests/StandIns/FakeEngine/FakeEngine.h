// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Hash.h>
#include <LibSchema/Generated.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/HttpServer.h>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace StandIns {

struct FakeEngineSettings {
    std::string address { "127.0.0.1" };
    uint16_t port { 0 };
    bool is_plain { false };
    /// Tokens of an answer, time between two, and time to the first when the prefix is cold.
    int64_t tokens { 20 };
    Core::Duration token { 5 };
    Core::Duration prefill { 20 };
    /// Time a load takes behind the last byte, and time a plain request takes.
    Core::Duration load { 100 };
    Core::Duration work { 5 };
    size_t slots { 8 };
    size_t cached_prefixes { 32 };
    uint64_t seed { 1 };
};

/// Stands in for a backend server in tests and the demo: a model engine, or a plain service that counts its runs.
class FakeEngine {
public:
    static Core::ErrorOr<std::unique_ptr<FakeEngine>> create(Core::EventLoop&, FakeEngineSettings);

private:
    struct Stream {
        std::shared_ptr<Transport::HttpExchange> exchange;
        std::string id;
        int64_t sent { 0 };
        std::unique_ptr<Core::Timer> timer;
    };

    struct Load {
        Schema::LoadOrder order;
        std::shared_ptr<Transport::HttpExchange> exchange;
        size_t next { 0 };
        std::string digests;
        std::unique_ptr<Core::Timer> timer;
    };

    FakeEngine(Core::EventLoop&, FakeEngineSettings);

    void handle(std::shared_ptr<Transport::HttpExchange> const&);
    void start_load(std::shared_ptr<Transport::HttpExchange> const&);
    void load_next();
    void finish_load();
    void fail_load(int status);
    void reply_status(Transport::HttpExchange&);
    void publish_status();
    void complete(std::shared_ptr<Transport::HttpExchange> const&);
    void send_token(uint64_t stream);
    void run_plain(std::shared_ptr<Transport::HttpExchange> const&);
    bool remember_prefix(std::string const&);

    Core::EventLoop& m_loop;
    FakeEngineSettings m_settings;
    std::unique_ptr<Transport::HttpServer> m_server;
    Transport::HttpClient m_client;
    std::mt19937_64 m_random;
    Schema::EngineFaults m_faults;

    int64_t m_fence { 0 };
    std::optional<Schema::LoadedWeights> m_serving;
    std::unique_ptr<Load> m_load;
    std::map<uint64_t, Stream> m_streams;
    uint64_t m_next_stream { 1 };
    std::deque<std::string> m_prefixes;
    uint64_t m_prefix_hits { 0 };
    uint64_t m_prefix_misses { 0 };
    Schema::EngineStatus m_published {};
    std::map<std::string, int64_t> m_runs;
    std::vector<std::unique_ptr<Core::Timer>> m_delays;
    std::unique_ptr<Core::Timer> m_publish_timer;
};

}
