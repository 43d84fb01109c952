// SPDX-License-Identifier: BSD-2-Clause
#include "ChunkServer.h"

#include <algorithm>
#include <cstdlib>

namespace Weights {

static constexpr int status_ok = 200;
static constexpr int status_not_found = 404;
static constexpr int status_unavailable = 503;

ChunkServer::ChunkServer(Core::EventLoop& loop, ChunkServerSettings settings, Core::Metrics& metrics, Distribution::ChunkStore const& store)
    : m_loop(loop)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_store(store)
    , m_limit(loop, 0, settings.bytes_per_second)
    , m_uploads(std::make_shared<size_t>(0))
{
}

bool ChunkServer::has_priority(WaitingUpload const& first, WaitingUpload const& second)
{
    return std::pair(!first.is_for_cache, first.held) < std::pair(!second.is_for_cache, second.held);
}

void ChunkServer::serve(std::shared_ptr<Transport::HttpExchange> const& exchange, std::string const& digest)
{
    auto chunk = m_store.find(digest);
    if (!chunk) {
        exchange->reply(status_not_found, {}, {});
        return;
    }
    // The local engine reads over loopback, so the limits for peers do not apply.
    bool const is_for_engine = exchange->query("for") == "engine";
    if (is_for_engine) {
        exchange->reply_shared(status_ok, {}, std::move(chunk));
        return;
    }
    if (*m_uploads < m_settings.max_concurrent_uploads) {
        upload(*exchange, chunk);
        return;
    }
    auto const held = std::strtoul(exchange->query("held").value_or("0").c_str(), nullptr, 10);
    m_waiting.push_back({ exchange, std::move(chunk), exchange->query("for") == "cache", held });
    std::erase_if(m_waiting, [](auto const& waiting) { return waiting.exchange->is_over(); });
    if (m_waiting.size() <= m_settings.max_waiting_uploads)
        return;
    // The peer that holds the most chunks can most easily find another source.
    auto const furthest = std::max_element(m_waiting.begin(), m_waiting.end(), has_priority);
    m_metrics.count("mountbarrow_agent_uploads_refused_total");
    furthest->exchange->reply(status_unavailable, { { "Retry-After", "1" } }, {});
    m_waiting.erase(furthest);
}

void ChunkServer::upload(Transport::HttpExchange& exchange, std::shared_ptr<std::string const> const& chunk)
{
    exchange.limit(m_limit);
    *m_uploads += 1;
    m_metrics.count("mountbarrow_agent_uploads_total");
    // The deleter runs when the last byte was sent or the connection has broken. It starts the next upload, so that the link is not idle.
    auto counted = std::shared_ptr<std::string const>(chunk.get(), [this, chunk, alive = std::weak_ptr(m_uploads)](auto const*) {
        auto const uploads = alive.lock();
        if (!uploads)
            return;
        *uploads -= 1;
        m_loop.soon([this, alive] {
            if (!alive.expired())
                upload_next();
        });
    });
    exchange.reply_shared(status_ok, {}, std::move(counted));
}

void ChunkServer::upload_next()
{
    while (*m_uploads < m_settings.max_concurrent_uploads && !m_waiting.empty()) {
        // The peer that is furthest behind comes first, since the time until all replicas are complete is that of the last one.
        auto const furthest_behind = std::min_element(m_waiting.begin(), m_waiting.end(), has_priority);
        auto const next = std::move(*furthest_behind);
        m_waiting.erase(furthest_behind);
        if (!next.exchange->is_over())
            upload(*next.exchange, next.chunk);
    }
}

}
