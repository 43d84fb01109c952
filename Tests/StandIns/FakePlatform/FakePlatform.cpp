// SPDX-License-Identifier: BSD-2-Clause
#include "FakePlatform.h"

#include <LibConfiguration/ReplayedState.h>
#include <LibCore/Hash.h>
#include <LibSchema/Json.h>

namespace StandIns {

static constexpr int64_t records_per_page = 500;
static constexpr size_t lists_remembered = 4096;
static constexpr double append_burst = 100;
static constexpr int64_t shared_seed = 0;

FakePlatform::FakePlatform(Core::EventLoop& loop, FakePlatformSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_origin_limit(loop, 0, m_settings.origin_bytes_per_second)
    , m_append_rate(m_settings.appends_per_second, append_burst)
    , m_random(m_settings.seed)
{
    publish_list();
}

Core::ErrorOr<std::unique_ptr<FakePlatform>> FakePlatform::create(Core::EventLoop& loop, FakePlatformSettings settings)
{
    std::unique_ptr<FakePlatform> platform(new FakePlatform(loop, std::move(settings)));
    auto handler = [raw = platform.get()](std::shared_ptr<Transport::HttpExchange> const& exchange) { raw->handle(exchange); };
    platform->m_server = TRY(Transport::HttpServer::create(loop, platform->m_settings.address, platform->m_settings.port, {}, handler));
    return platform;
}

static void reply_json(Transport::HttpExchange& exchange, std::string const& body)
{
    exchange.reply(200, { { "Content-Type", "application/json" } }, body);
}

static int64_t number(Transport::HttpExchange const& exchange, char const* key)
{
    return std::strtoll(exchange.query(key).value_or("0").c_str(), nullptr, 10);
}

void FakePlatform::handle(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    auto const& path = exchange->path();
    static constexpr std::string_view chunks = "/origin/chunks/";
    static constexpr std::string_view instances = "/instances/";
    if (path == "/log" && exchange->method() == "GET")
        read_log(*exchange);
    else if (path == "/log")
        append(exchange);
    else if (path == "/instances")
        read_list(*exchange);
    else if (path.starts_with(instances))
        change_list(*exchange, path.substr(instances.size()));
    else if (path == "/models")
        create_model(*exchange);
    else if (path.starts_with(chunks))
        serve_chunk(*exchange, path.substr(chunks.size()));
    else if (path == "/origin/stats")
        reply_json(*exchange, nlohmann::json { { "origin_bytes", m_origin_bytes } }.dump());
    else if (path == "/faults")
        set_faults(*exchange);
    else
        exchange->reply(404, {}, {});
}

void FakePlatform::set_faults(Transport::HttpExchange& exchange)
{
    auto faults = Schema::from_text<Schema::WeightsFaults>(exchange.body());
    if (!faults.has_value()) {
        exchange.reply(400, {}, faults.error().detail);
        return;
    }
    m_faults = *faults;
    auto const drop_before = m_faults.drop_before.value_or(0);
    while (m_first_retained < drop_before && !m_log.empty()) {
        m_log.pop_front();
        m_first_retained += 1;
    }
    exchange.reply(200, {}, {});
}

void FakePlatform::read_log(Transport::HttpExchange& exchange)
{
    if (m_faults.log_out.value_or(false)) {
        exchange.reply(503, {}, {});
        return;
    }
    Schema::LogPage page {};
    page.first_retained = m_first_retained;
    page.end = m_first_retained + static_cast<int64_t>(m_log.size());
    page.from = std::max(number(exchange, "from"), m_first_retained);
    for (auto offset = page.from; offset < page.end && offset < page.from + records_per_page; ++offset)
        page.bodies.push_back(m_log[static_cast<size_t>(offset - m_first_retained)]);
    reply_json(exchange, Schema::to_text(page));
}

void FakePlatform::append(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    if (m_faults.log_out.value_or(false)) {
        exchange->reply(503, {}, {});
        return;
    }
    if (!m_append_rate.try_acquire(1, Core::monotonic_now())) {
        exchange->reply(429, {}, {});
        return;
    }
    auto const delay = Core::Duration(m_faults.append_delay_ms.value_or(0));
    if (delay.count() == 0) {
        take_append(*exchange, exchange->body());
        return;
    }
    m_delays.push_back(m_loop.after(delay, [this, exchange, body = exchange->body()] { take_append(*exchange, body); }));
}

void FakePlatform::take_append(Transport::HttpExchange& exchange, std::string body)
{
    m_log.push_back(std::move(body));
    auto const lost = m_faults.lose_append_answers.value_or(0);
    if (lost > 0) {
        m_faults.lose_append_answers = lost - 1;
        exchange.abort();
        return;
    }
    Schema::LogPosition position {};
    position.offset = m_first_retained + static_cast<int64_t>(m_log.size()) - 1;
    reply_json(exchange, Schema::to_text(position));
}

void FakePlatform::publish_list()
{
    Schema::Members members;
    members.version = m_lists.empty() ? 0 : m_lists.back().second.version + 1;
    for (auto const& [id, instance] : m_instances)
        members.instances.push_back(instance);
    m_lists.emplace_back(Core::monotonic_now(), std::move(members));
    if (m_lists.size() > lists_remembered)
        m_lists.pop_front();
}

void FakePlatform::read_list(Transport::HttpExchange& exchange)
{
    if (m_faults.list_out.value_or(false)) {
        exchange.reply(503, {}, {});
        return;
    }
    auto const shown_before = Core::monotonic_now() - Core::Duration(m_faults.list_lag_ms.value_or(0));
    auto const* shown = &m_lists.front().second;
    for (auto const& [time, members] : m_lists) {
        if (time <= shown_before)
            shown = &members;
    }
    Schema::Members answer;
    answer.version = shown->version;
    // A reader that is up to date is told the version alone.
    if (shown->version != number(exchange, "known"))
        answer = *shown;
    reply_json(exchange, Schema::to_text(answer));
}

void FakePlatform::change_list(Transport::HttpExchange& exchange, std::string const& id)
{
    if (exchange.method() == "DELETE") {
        m_instances.erase(id);
        publish_list();
        exchange.reply(200, {}, {});
        return;
    }
    auto instance = Schema::from_text<Schema::Instance>(exchange.body());
    if (!instance.has_value()) {
        exchange.reply(400, {}, instance.error().detail);
        return;
    }
    m_instances[id] = *instance;
    publish_list();
    exchange.reply(200, {}, {});
}

std::string FakePlatform::make_chunk(int64_t seed, int64_t number, int64_t bytes)
{
    std::mt19937_64 content(static_cast<uint64_t>(seed * 1000003 + number));
    std::string chunk(static_cast<size_t>(bytes), '\0');
    for (size_t i = 0; i + sizeof(uint64_t) <= chunk.size(); i += sizeof(uint64_t)) {
        auto const word = content();
        std::copy_n(reinterpret_cast<char const*>(&word), sizeof(word), chunk.begin() + static_cast<ptrdiff_t>(i));
    }
    return chunk;
}

void FakePlatform::create_model(Transport::HttpExchange& exchange)
{
    auto seed = Schema::from_text<Schema::ModelSeed>(exchange.body());
    if (!seed.has_value()) {
        exchange.reply(400, {}, seed.error().detail);
        return;
    }
    Schema::VersionSpec spec;
    spec.model = seed->model;
    spec.version = seed->version;
    for (int64_t i = 0; i < seed->chunk_count; ++i) {
        auto bytes = make_chunk(i < seed->shared_chunks ? shared_seed : seed->seed, i, seed->chunk_bytes);
        Schema::Chunk chunk;
        chunk.digest = Core::sha256(bytes);
        chunk.bytes = seed->chunk_bytes;
        m_chunks[chunk.digest] = std::make_shared<std::string const>(std::move(bytes));
        spec.chunks.push_back(std::move(chunk));
    }
    spec.digest = Configuration::weights_digest(spec.chunks);
    reply_json(exchange, Schema::to_text(spec));
}

void FakePlatform::serve_chunk(Transport::HttpExchange& exchange, std::string const& digest)
{
    auto found = m_chunks.find(digest);
    if (m_faults.origin_out.value_or(false) || found == m_chunks.end()) {
        exchange.reply(found == m_chunks.end() ? 404 : 503, {}, {});
        return;
    }
    exchange.limit(m_origin_limit);
    m_origin_bytes += static_cast<int64_t>(found->second->size());
    auto bytes = found->second;
    bool const is_corrupt = std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.corrupt_share.value_or(0);
    if (is_corrupt) {
        auto copy = *bytes;
        copy[m_random() % copy.size()] ^= 1;
        bytes = std::make_shared<std::string const>(std::move(copy));
    }
    exchange.reply_shared(200, {}, std::move(bytes));
}

}
