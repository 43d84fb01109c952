// SPDX-License-Identifier: BSD-2-Clause
#include "LoadRunner.h"

#include <LibMembership/IdempotencyKeyOwner.h>
#include <algorithm>

namespace Load {

static constexpr Core::Duration send_interval { 5 };
static constexpr Core::Duration grace { 3000 };
static constexpr size_t max_answer_bytes = size_t { 16 } << 20;
static constexpr size_t prompt_characters = 400;
static constexpr size_t most_failures_told = 50;

LoadRunner::LoadRunner(Core::EventLoop& loop, LoadSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
}

nlohmann::json LoadRunner::run()
{
    m_started = Core::monotonic_now();
    m_timer = m_loop.every(send_interval, [this] { send_due(); });
    m_loop.run();
    return report();
}

void LoadRunner::send_due()
{
    auto const elapsed = Core::monotonic_now() - m_started;
    if (elapsed >= m_settings.length) {
        bool const is_out_of_time = elapsed >= m_settings.length + m_settings.deadline + grace;
        if (m_running.empty() || is_out_of_time)
            m_loop.stop();
        return;
    }
    auto const due = static_cast<uint64_t>(static_cast<double>(elapsed.count()) / 1000 * m_settings.rate);
    std::uniform_real_distribution<double> share(0, 1);
    while (m_sent < due) {
        m_sent += 1;
        auto const first = m_random() % m_settings.entries.size();
        bool const is_keyed = m_settings.model.empty() && share(m_random) < m_settings.keyed_share;
        auto const key = is_keyed ? Membership::make_uuid_v7(Core::wall_now(), m_random) : std::string();
        send_one(key, m_settings.entries[first]);
        if (is_keyed && share(m_random) < m_settings.resend_share)
            send_one(key, m_settings.entries[(first + 1) % m_settings.entries.size()]);
    }
}

Transport::HttpCallRequest LoadRunner::make_request(Running& running, std::string const& key, Target const& target)
{
    Transport::HttpCallRequest request;
    request.address = target.address;
    request.port = target.port;
    request.method = "POST";
    request.timeout = m_settings.deadline + grace;
    request.max_body_bytes = max_answer_bytes;
    request.headers.emplace_back("X-Deadline-Ms", std::to_string(m_settings.deadline.count()));
    request.headers.emplace_back("X-Priority", std::to_string(m_settings.priority));
    if (!running.customer.empty())
        request.headers.emplace_back("X-Customer", running.customer);
    if (m_settings.model.empty()) {
        running.id = key.empty() ? Membership::make_uuid_v7(Core::wall_now(), m_random) : key;
        request.path = "/" + m_settings.service + "/redeem";
        request.headers.emplace_back("X-Call-Id", running.id);
        if (!key.empty())
            request.headers.emplace_back("Idempotency-Key", key);
        request.body = "{}";
        return request;
    }
    auto const prefix = "conversation " + std::to_string(m_random() % m_settings.prefixes) + " ";
    nlohmann::json body { { "model", m_settings.model }, { "stream", true }, { "messages", { { { "role", "user" }, { "content", prefix + std::string(prompt_characters, 'p') + std::to_string(m_next) } } } } };
    request.path = "/" + m_settings.service + "/v1/chat/completions";
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = body.dump();
    return request;
}

void LoadRunner::send_one(std::string const& key, Target const& target)
{
    auto const id = m_next++;
    auto running = std::make_unique<Running>();
    running->started = Core::monotonic_now();
    running->entry = target.address;
    if (!m_settings.customers.empty())
        running->customer = m_settings.customers[m_random() % m_settings.customers.size()];
    auto const request = make_request(*running, key, target);
    auto* raw = running.get();
    m_running[id] = std::move(running);
    raw->call = Transport::HttpCall::start(m_loop, request,
        { .head = [raw](int status, auto const&) { raw->status = status; },
            .data = [this, raw](std::string_view data) {
                if (!raw->has_first_byte && raw->status == 200) {
                    auto const waited = static_cast<double>((Core::monotonic_now() - raw->started).count());
                    m_metrics.observe_ms("first_byte", std::max(waited, 0.1));
                    if (!raw->customer.empty())
                        m_metrics.observe_ms("first_byte_" + raw->customer, std::max(waited, 0.1));
                }
                raw->has_first_byte = true;
                raw->body += data; },
            .done = [this, id] { finish(id, {}); },
            .failed = [this, id](Transport::HttpFailure failure) { finish(id, failure == Transport::HttpFailure::NotConnected ? "not_connected" : failure == Transport::HttpFailure::TimedOut ? "timed_out"
                                                                                                                                                                                              : "broken_off"); } });
}

bool LoadRunner::is_whole(Running const& running) const
{
    if (m_settings.model.empty())
        return running.body.find(running.id) != std::string::npos;
    // Every token of the answer, in order, of one request, up to the end mark.
    size_t position = 0;
    std::string owner;
    int64_t expected = 0;
    while (true) {
        auto const start = running.body.find("data: ", position);
        if (start == std::string::npos)
            return false;
        auto const end = running.body.find("\n\n", start);
        auto const text = running.body.substr(start + 6, end - start - 6);
        position = end;
        if (text == "[DONE]")
            return expected > 0;
        auto const token = nlohmann::json::parse(text, nullptr, false);
        if (token.is_discarded() || token.value("index", int64_t { -1 }) != expected)
            return false;
        if (expected == 0)
            owner = token.value("id", "");
        if (token.value("id", "") != owner)
            return false;
        expected += 1;
    }
}

void LoadRunner::finish(uint64_t id, std::string const& failure)
{
    auto node = m_running.extract(id);
    if (node.empty())
        return;
    auto const& running = *node.mapped();
    if (!failure.empty()) {
        m_outcomes[failure] += 1;
        note_call(running.id, failure);
        note_failure(running, failure);
    } else if (running.status == 200) {
        m_outcomes["answered"] += 1;
        m_not_whole += is_whole(running) ? 0 : 1;
        m_metrics.observe_ms("total", std::max(0.1, static_cast<double>((Core::monotonic_now() - running.started).count())));
        if (!running.id.empty())
            m_calls[running.id] = "answered";
    } else {
        auto const problem = nlohmann::json::parse(running.body, nullptr, false);
        bool const is_problem = problem.is_object() && problem.contains("outcome");
        auto const outcome = is_problem ? problem["outcome"].get<std::string>() : "status_" + std::to_string(running.status);
        m_outcomes[outcome] += 1;
        if (is_problem)
            m_reasons[outcome + " " + problem.value("type", "")] += 1;
        if (outcome == "not_run")
            m_metrics.observe_ms("refusal", std::max(0.1, static_cast<double>((Core::monotonic_now() - running.started).count())));
        note_call(running.id, outcome);
    }
}

void LoadRunner::note_failure(Running const& running, std::string const& failure)
{
    if (m_failures.size() >= most_failures_told)
        return;
    m_failures.push_back({ { "failure", failure }, { "entry", running.entry }, { "id", running.id }, { "ended_at_wall_ms", Core::wall_now().count() },
        { "after_ms", (Core::monotonic_now() - running.started).count() }, { "status", running.status }, { "body_bytes", running.body.size() } });
}

void LoadRunner::note_call(std::string const& id, std::string const& outcome)
{
    if (id.empty())
        return;
    // A call that was sent twice counts as not run only if both submissions were refused as not run.
    auto& noted = m_calls[id];
    bool const is_worse = noted.empty() || noted == "not_run" || noted == "not_connected";
    if (is_worse)
        noted = outcome;
}

nlohmann::json LoadRunner::report() const
{
    auto quantiles = [this](std::string const& name) {
        return nlohmann::json { { "p50", m_metrics.quantile_ms(name, 0.5) }, { "p95", m_metrics.quantile_ms(name, 0.95) }, { "p99", m_metrics.quantile_ms(name, 0.99) } };
    };
    nlohmann::json report;
    report["sent"] = m_next - 1;
    report["outcomes"] = m_outcomes;
    report["reasons"] = m_reasons;
    report["unanswered"] = m_running.size();
    report["not_whole"] = m_not_whole;
    report["failures"] = m_failures;
    report["first_byte_ms"] = quantiles("first_byte");
    report["total_ms"] = quantiles("total");
    report["refusal_ms"] = quantiles("refusal");
    for (auto const& customer : m_settings.customers)
        report["first_byte_ms_by_customer"][customer] = quantiles("first_byte_" + customer);
    if (m_settings.model.empty())
        report["calls"] = m_calls;
    return report;
}

}
