// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibDistribution/ChunkStore.h>
#include <LibTransport/HttpServer.h>
#include <LibTransport/RateLimit.h>
#include <deque>
#include <memory>
#include <string>

namespace Weights {

/// A peer that takes nothing of a chunk for so long sits behind a dead connection, and has asked another source by then.
inline constexpr Core::Duration upload_patience { 2000 };

struct ChunkServerSettings {
    /// Bytes a second to all peers together; 0 for no limit.
    int64_t bytes_per_second { 0 };
    /// Chunks sent to peers at once. More would split the link, and each copy would arrive later.
    size_t at_once { 1 };
    /// Requests that may wait for an upload to end, so that the link never idles.
    size_t waiting { 1 };
};

/// Sends the chunks held here to peers and to the engine beside this agent.
class ChunkServer {
public:
    ChunkServer(Core::EventLoop&, ChunkServerSettings, Core::Metrics&, Distribution::ChunkStore const&);

    /// Answers a request for a chunk: now, after the uploads before it, or by a refusal as busy.
    void serve(std::shared_ptr<Transport::HttpExchange> const&, std::string const& digest);

private:
    struct WaitingUpload {
        std::shared_ptr<Transport::HttpExchange> exchange;
        std::shared_ptr<std::string const> chunk;
        // It is for a cache, which passes it on to many.
        bool is_for_cache { false };
        // Chunks that the requesting peer says it holds.
        size_t held { 0 };
    };

    static bool goes_first(WaitingUpload const&, WaitingUpload const&);
    void upload(Transport::HttpExchange&, std::shared_ptr<std::string const> const& chunk);
    void upload_next();

    Core::EventLoop& m_loop;
    ChunkServerSettings m_settings;
    Core::Metrics& m_metrics;
    Distribution::ChunkStore const& m_store;
    Transport::RateLimit m_limit;
    // Uploads under way. Bytes on their way out may outlive this object, and ask by this whether it is there.
    std::shared_ptr<size_t> m_uploads;
    std::deque<WaitingUpload> m_waiting;
};

}
