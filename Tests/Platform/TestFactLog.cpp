// SPDX-License-Identifier: BSD-2-Clause
#include "../../platform/HttpFactLog.h"
#include "../../platform/Words.h"
#include "../LibTransport/LoopTest.h"
#include <LibCore/PauseWatch.h>
#include <LibPlatform/FactFollower.h>
#include <LibTransport/HttpServer.h>
#include <algorithm>
#include <map>
#include <openssl/evp.h>

using namespace PlatformAdapter;

namespace {

// What an answer of the store holds at most, in records: three large configurations fill the megabyte that it ends at.
constexpr size_t most_records_of_an_answer = 3;
// Large configurations that are written while an entry with a small share of a processor translates one.
constexpr int written_meanwhile = 12;
constexpr int configurations_of_the_storm = 25;

std::string big_endian(uint64_t number, int bytes)
{
    std::string result;
    for (int i = bytes - 1; i >= 0; --i)
        result += static_cast<char>((number >> (8 * i)) & 0xff);
    return result;
}

std::string to_base64(std::string const& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto const size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(size));
    return text;
}

/// The operator's topic, over HTTP.
class OperatorTopic {
public:
    explicit OperatorTopic(Core::EventLoop& loop)
        : m_server(Transport::HttpServer::create(loop, "127.0.0.1", 0, {}, [this](auto const& exchange) { answer(exchange); }).value())
    {
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server->port()); }

    void write_configuration()
    {
        m_configurations += 1;
        write(Words::configuration_key, R"({"Version":)" + std::to_string(m_configurations) + R"(,"Routes":[],"Services":[],"Limits":{}})");
    }

    void write_version(int64_t version)
    {
        write(std::string(Words::version_key_prefix) + "m", R"({"Model":"m","Version":)" + std::to_string(version) + "}");
    }

    int configurations() const { return m_configurations; }

private:
    void write(std::string const& key, std::string const& value)
    {
        m_records.emplace_back(key, value);
        for (auto const& exchange : std::exchange(m_waiting, {}))
            read(*exchange);
    }

    void answer(std::shared_ptr<Transport::HttpExchange> const& exchange)
    {
        if (exchange->query("topic") != Words::operator_topic) {
            exchange->reply(200, {}, exchange->path() == "/log-newest" ? R"({"Items":[],"more":false,"end":0})" : big_endian(0, 8) + big_endian(0, 8));
            return;
        }
        if (exchange->path() == "/log-newest")
            list(*exchange);
        else if (from(*exchange) < m_records.size() || !exchange->query("WaitMs"))
            read(*exchange);
        else
            m_waiting.push_back(exchange);
    }

    static size_t from(Transport::HttpExchange const& exchange) { return std::stoul(*exchange.query("From")); }

    void read(Transport::HttpExchange& exchange) const
    {
        auto body = big_endian(m_records.size(), 8) + big_endian(0, 8);
        auto const begin = from(exchange);
        auto const end = std::min(begin + most_records_of_an_answer, m_records.size());
        for (auto i = begin; i < end; ++i) {
            auto const& [key, value] = m_records[i];
            body += big_endian(1 + key.size() + value.size(), 4) + static_cast<char>(key.size()) + key + value;
        }
        exchange.reply(200, {}, body);
    }

    void list(Transport::HttpExchange& exchange) const
    {
        std::map<std::string, std::string> items;
        for (size_t i = 0; i < m_records.size(); ++i) {
            auto const& [key, value] = m_records[i];
            items[key] = R"({"Key":")" + key + R"(","Value":")" + to_base64(value) + R"(","offset":)" + std::to_string(i) + "}";
        }
        std::string list;
        for (auto const& [key, item] : items)
            list += (list.empty() ? "" : ",") + item;
        exchange.reply(200, {}, R"({"Items":[)" + list + R"(],"more":false,"end":)" + std::to_string(m_records.size()) + "}");
    }

    std::vector<std::pair<std::string, std::string>> m_records;
    int m_configurations { 0 };
    std::vector<std::shared_ptr<Transport::HttpExchange>> m_waiting;
    std::unique_ptr<Transport::HttpServer> m_server;
};

/// A log that passes on what another one says, and counts the configurations that it translated.
class CountingLog final : public Platform::FactLog {
public:
    CountingLog(std::unique_ptr<Platform::FactLog> log, std::function<void()> translated)
        : m_log(std::move(log))
        , m_translated(std::move(translated))
    {
    }

    void read(Configuration::FactTopic topic, int64_t from, Platform::ReadPatience patience, Callback callback) override
    {
        m_log->read(topic, from, patience, counted(std::move(callback)));
    }

    void read_newest(Configuration::FactTopic topic, Platform::ReadPatience patience, Callback callback) override
    {
        m_log->read_newest(topic, patience, counted(std::move(callback)));
    }

private:
    Callback counted(Callback callback)
    {
        return [this, callback = std::move(callback)](auto const& page) {
            auto const facts = page.has_value() ? page->facts : std::vector<Configuration::Fact> {};
            if (std::any_of(facts.begin(), facts.end(), [](auto const& fact) { return fact.kind == Schema::FactKind::Configuration; }))
                m_translated();
            callback(page);
        };
    }

    std::unique_ptr<Platform::FactLog> m_log;
    std::function<void()> m_translated;
};

}

class FactLogTest : public LoopTest {
protected:
    void SetUp() override
    {
        m_topic.write_configuration();
        m_follower.start();
        run_until([this] { return is_newest_in_force(); });
        m_translated = 0;
    }

    bool is_newest_in_force() const
    {
        auto const& configuration = m_replica.configuration();
        return configuration && configuration->version == m_topic.configurations();
    }

    /// The operator goes on writing while a configuration is translated.
    void on_translated()
    {
        m_translated += 1;
        for (int i = 0; i < written_meanwhile && m_left_of_the_storm > 0; ++i, --m_left_of_the_storm)
            m_topic.write_configuration();
    }

    OperatorTopic m_topic { m_loop };
    CountingLog m_log { std::make_unique<HttpFactLog>(m_loop, m_topic.address(), CustomerKeys::NotExpected), [this] { on_translated(); } };
    Configuration::FactReplica m_replica;
    Core::PauseWatch m_pauses { m_loop };
    Platform::FactFollower m_follower { m_loop, m_pauses, m_log, m_replica, {}, { .changed = [](auto const&) {}, .failing = [](auto, auto) {}, .regained = [](auto, auto) {}, .bad_record = [](auto const&) {} } };
    int m_translated { 0 };
    int m_left_of_the_storm { 0 };
};

// The first of the storm, which a read waited for; the newest of what was written meanwhile, twice; no other.
TEST_F(FactLogTest, OfConfigurationsThatComeFasterThanTheyAreReadOnlyTheNewestAreTranslated)
{
    m_left_of_the_storm = configurations_of_the_storm - 1;
    m_topic.write_configuration();
    run_until([this] { return m_left_of_the_storm == 0 && is_newest_in_force(); });
    EXPECT_LE(m_translated, 3);
}

TEST_F(FactLogTest, AVersionAmongThemIsTakenAndNothingIsLeftOut)
{
    m_left_of_the_storm = configurations_of_the_storm - 1;
    m_topic.write_configuration();
    run_until([this] { return m_left_of_the_storm == 0; });
    m_topic.write_version(2);
    run_until([this] { return is_newest_in_force() && m_replica.versions().contains("m"); });
    EXPECT_EQ(m_replica.versions().at("m").newest(), 2);
    m_topic.write_version(3);
    run_until([this] { return m_replica.versions().at("m").newest() == 3; });
    m_topic.write_configuration();
    run_until([this] { return is_newest_in_force(); });
}
