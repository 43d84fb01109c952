// SPDX-License-Identifier: BSD-2-Clause
#include "FakeEngine.h"

#include <LibSchema/Json.h>
#include <algorithm>

namespace StandIns {

static constexpr Core::Duration publish_interval { 300 };
static constexpr int64_t warm_prefill_divisor = 5;
static constexpr size_t prefix_characters = 256;
static constexpr size_t prefix_hash_characters = 16;
// One cache event in so many is lost.
static constexpr uint64_t event_gap = 10;

FakeEngine::FakeEngine(Core::EventLoop& loop, FakeEngineSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_client(loop)
    , m_random(m_settings.seed)
    , m_publish_timer(loop.every(publish_interval, [this] { publish_status(); }))
{
    publish_status();
}

Core::ErrorOr<std::unique_ptr<FakeEngine>> FakeEngine::create(Core::EventLoop& loop, FakeEngineSettings settings)
{
    std::unique_ptr<FakeEngine> engine(new FakeEngine(loop, std::move(settings)));
    auto handler = [raw = engine.get()](std::shared_ptr<Transport::HttpExchange> const& exchange) { raw->handle(exchange); };
    engine->m_server = TRY(Transport::HttpServer::create(loop, engine->m_settings.address, engine->m_settings.port, {}, handler));
    return engine;
}

static void reply_json(Transport::HttpExchange& exchange, nlohmann::json const& value)
{
    exchange.reply(200, { { "Content-Type", "application/json" } }, value.dump());
}

void FakeEngine::handle(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    auto const& path = exchange->path();
    if (path == "/faults") {
        auto faults = Schema::from_text<Schema::EngineFaults>(exchange->body());
        if (faults.has_value())
            m_faults = *faults;
        exchange->reply(faults.has_value() ? 200 : 400, {}, {});
    } else if (path == "/runs") {
        reply_json(*exchange, m_runs);
    } else if (path == "/counters") {
        reply_json(*exchange, { { "prefix_hits", m_prefix_hits }, { "prefix_misses", m_prefix_misses } });
    } else if (m_settings.is_plain) {
        run_plain(exchange);
    } else if (path == "/engine/status") {
        reply_status(*exchange);
    } else if (path == "/engine/load") {
        start_load(exchange);
    } else if (path == "/v1/chat/completions") {
        complete(exchange);
    } else {
        exchange->reply(404, {}, {});
    }
}

void FakeEngine::start_load(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    auto order = Schema::from_text<Schema::LoadOrder>(exchange->body());
    if (!order.has_value()) {
        exchange->reply(400, {}, order.error().detail);
        return;
    }
    // A fence that does not grow is a late order.
    if (order->fence <= m_fence) {
        exchange->reply(409, {}, {});
        return;
    }
    m_fence = order->fence;
    if (m_load)
        fail_load(409);
    m_serving.reset();
    m_load = std::make_unique<Load>();
    m_load->order = *order;
    m_load->exchange = exchange;
    auto const failing = m_faults.fail_loads.value_or(0);
    if (failing > 0) {
        m_faults.fail_loads = failing - 1;
        fail_load(500);
        return;
    }
    load_next();
}

void FakeEngine::fail_load(int status)
{
    if (!m_load)
        return;
    m_load->exchange->reply(status, {}, {});
    m_load.reset();
}

void FakeEngine::load_next()
{
    if (m_load->next == m_load->order.chunks.size()) {
        m_load->timer = m_loop.after(m_settings.load, [this] { finish_load(); });
        return;
    }
    Transport::HttpCallRequest request;
    request.address = m_load->order.source_address;
    request.port = static_cast<uint16_t>(m_load->order.source_port);
    request.path = "/chunks/" + m_load->order.chunks[m_load->next] + "?for=engine";
    request.max_body_bytes = size_t { 64 } << 20;
    m_client.call(request, [this, fence = m_fence](auto answer) {
        if (!m_load || fence != m_load->order.fence)
            return;
        bool const is_right = answer.has_value() && answer->status == 200 && Core::sha256(answer->body) == m_load->order.chunks[m_load->next];
        if (!is_right) {
            fail_load(500);
            return;
        }
        m_load->digests += m_load->order.chunks[m_load->next];
        m_load->next += 1;
        load_next();
    });
}

void FakeEngine::finish_load()
{
    if (Core::sha256(m_load->digests) != m_load->order.digest) {
        fail_load(422);
        return;
    }
    Schema::LoadedWeights weights;
    weights.model = m_load->order.model;
    weights.version = m_load->order.version;
    weights.digest = m_load->order.digest;
    m_serving = weights;
    m_prefixes.clear();
    m_load->exchange->reply(200, {}, {});
    m_load.reset();
    publish_status();
}

void FakeEngine::publish_status()
{
    m_published.load = static_cast<double>(m_streams.size()) / static_cast<double>(m_settings.slots);
    m_published.in_flight = static_cast<int64_t>(m_streams.size());
    std::vector<std::string> warm;
    for (auto const& prefix : m_prefixes) {
        if (m_random() % event_gap != 0)
            warm.push_back(prefix);
    }
    m_published.warm_prefixes = std::move(warm);
}

void FakeEngine::reply_status(Transport::HttpExchange& exchange)
{
    // Load and cache events lag; what is served does not.
    auto status = m_published;
    status.fence = m_fence;
    status.loading = m_load != nullptr;
    status.serving = m_serving;
    exchange.reply(200, {}, Schema::to_text(status));
}

bool FakeEngine::remember_prefix(std::string const& prefix)
{
    auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    bool const is_warm = found != m_prefixes.end();
    if (is_warm)
        m_prefixes.erase(found);
    m_prefixes.push_back(prefix);
    if (m_prefixes.size() > m_settings.cached_prefixes)
        m_prefixes.pop_front();
    return is_warm;
}

static std::string prefix_of(nlohmann::json const& body)
{
    std::string text;
    for (auto const& message : body.value("messages", nlohmann::json::array()))
        text += message.value("content", "") + '\n';
    return Core::sha256(text.substr(0, prefix_characters)).substr(0, prefix_hash_characters);
}

void FakeEngine::complete(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    bool const fails = std::uniform_real_distribution<double>(0, 1)(m_random) < m_faults.error_share.value_or(0);
    if (fails) {
        exchange->reply(500, {}, "fault");
        return;
    }
    auto const body = nlohmann::json::parse(exchange->body(), nullptr, false);
    auto const model = body.is_object() ? body.value("model", "") : "";
    bool const is_served = m_serving && (model == m_serving->model || model == m_serving->model + "@" + m_serving->version);
    if (!is_served || m_streams.size() >= m_settings.slots) {
        exchange->reply(503, {}, {});
        return;
    }
    auto const id = m_next_stream++;
    auto& stream = m_streams[id];
    stream.exchange = exchange;
    stream.id = exchange->header("X-Request-Id").value_or("");
    exchange->on_gone([this, id] { m_streams.erase(id); });
    if (m_faults.stop_answering.value_or(false))
        return;
    bool const is_warm = remember_prefix(prefix_of(body));
    (is_warm ? m_prefix_hits : m_prefix_misses) += 1;
    exchange->start(200, { { "Content-Type", "text/event-stream" }, { "X-Weights-Digest", m_serving->digest } });
    auto const prefill = is_warm ? m_settings.prefill / warm_prefill_divisor : m_settings.prefill;
    stream.timer = m_loop.after(prefill, [this, id] { send_token(id); });
}

void FakeEngine::send_token(uint64_t id)
{
    auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    auto& stream = found->second;
    auto const break_after = m_faults.break_after_tokens.value_or(0);
    if (break_after > 0 && stream.sent >= break_after) {
        stream.exchange->abort();
        m_streams.erase(found);
        return;
    }
    if (stream.sent == m_settings.tokens) {
        stream.exchange->part("data: [DONE]\n\n");
        stream.exchange->end();
        m_streams.erase(found);
        return;
    }
    nlohmann::json token { { "id", stream.id }, { "index", stream.sent }, { "choices", { { { "delta", { { "content", "token " } } } } } } };
    stream.exchange->part("data: " + token.dump() + "\n\n");
    stream.sent += 1;
    auto const wait = m_faults.token_ms ? Core::Duration(*m_faults.token_ms) : m_settings.token;
    auto timer = m_loop.after(wait, [this, id] { send_token(id); });
    std::swap(stream.timer, timer);
    // The timer that is firing ends in the loop's next turn.
    m_loop.soon([old = std::shared_ptr<Core::Timer>(std::move(timer))] {});
}

void FakeEngine::run_plain(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    auto const call = exchange->header("X-Call-Id").value_or("none");
    m_runs[call] += 1;
    if (m_faults.stop_answering.value_or(false)) {
        m_delays.push_back(m_loop.after(Core::Duration(600000), [exchange] {}));
        return;
    }
    if (m_faults.close_after_run.value_or(false)) {
        exchange->abort();
        return;
    }
    auto const id = m_next_stream++;
    auto& stream = m_streams[id];
    stream.exchange = exchange;
    stream.timer = m_loop.after(m_settings.work, [this, id, call] {
        auto found = m_streams.find(id);
        auto held = found->second.exchange;
        reply_json(*held, { { "call", call }, { "run", m_runs[call] } });
        m_loop.soon([this, id] { m_streams.erase(id); });
    });
}

}
