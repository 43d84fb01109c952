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

/// Send timeout of an upload: a peer that receives nothing for this time has a broken connection, and has begun to read from another
/// source.
inline constexpr Core::Duration upload_send_timeout { 2000 };

/// Limits of a ChunkServer.
struct ChunkServerSettings {
    /// Limit of the bytes per second sent to all peers together. If 0, there is no limit.
    int64_t bytes_per_second { 0 };
    /// Maximum number of concurrent uploads to peers. More uploads would share the link, and each chunk would arrive later.
    size_t max_concurrent_uploads { 1 };
    /// Maximum number of requests that wait for an upload to end, so that the link is never idle in between.
    size_t max_waiting_uploads { 1 };
};

/// Sends the chunks that this instance holds to peers and to the local engine. Queues requests of peers beyond the limit of concurrent
/// uploads, and refuses requests beyond the limit of the queue.
class ChunkServer {
public:
    ChunkServer(Core::EventLoop&, ChunkServerSettings, Core::Metrics&, Distribution::ChunkStore const&);

    /// Answers a request for the chunk with this digest: at once, after uploads before it, or with 404 if the chunk is not held. If the
    /// queue is full, the request in it with the lowest priority, this one or another, is answered with 503 and Retry-After: the request
    /// of the peer that holds the most chunks, and that of a cache only if all are from caches. Query parameters: `for=engine` for the
    /// local engine, which is not limited, `for=cache` for a cache, and `held` for the number of chunks that the peer holds.
    void serve(std::shared_ptr<Transport::HttpExchange> const&, std::string const& digest);

private:
    struct WaitingUpload {
        std::shared_ptr<Transport::HttpExchange> exchange;
        std::shared_ptr<std::string const> chunk;
        // The requesting peer is a cache, which sends the chunk on to many instances.
        bool is_for_cache { false };
        // Number of chunks that the requesting peer reports to hold.
        size_t held { 0 };
    };

    /// Whether the first upload has priority: caches first, then the peer that holds fewer chunks.
    static bool has_priority(WaitingUpload const&, WaitingUpload const&);
    void upload(Transport::HttpExchange&, std::shared_ptr<std::string const> const& chunk);
    void upload_next();

    Core::EventLoop& m_loop;
    ChunkServerSettings m_settings;
    Core::Metrics& m_metrics;
    Distribution::ChunkStore const& m_store;
    Transport::RateLimit m_limit;
    // Number of uploads in flight. A response that is being sent may outlive this object, and checks through a weak pointer to this whether
    // the object still exists.
    std::shared_ptr<size_t> m_uploads;
    std::deque<WaitingUpload> m_waiting;
};

}
