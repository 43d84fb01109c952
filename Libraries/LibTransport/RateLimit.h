// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <cstdint>

struct bufferevent;
struct bufferevent_rate_limit_group;
struct ev_token_bucket_cfg;

namespace Transport {

/// A bandwidth limit that several connections share.
class RateLimit {
public:
    /// Bytes a second each way; 0 leaves that way unlimited.
    RateLimit(Core::EventLoop&, int64_t read_bytes_per_second, int64_t write_bytes_per_second);
    ~RateLimit();
    RateLimit(RateLimit const&) = delete;
    RateLimit& operator=(RateLimit const&) = delete;

    /// Puts a connection under the limit; doing it twice is harmless.
    void add(bufferevent*);

private:
    ev_token_bucket_cfg* m_bucket { nullptr };
    bufferevent_rate_limit_group* m_group { nullptr };
};

}
