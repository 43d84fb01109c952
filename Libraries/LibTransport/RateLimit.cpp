// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/RateLimit.h>

#include <algorithm>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace Transport {

static constexpr int64_t tick_ms = 20;

static size_t bytes_per_tick(int64_t bytes_per_second)
{
    if (bytes_per_second <= 0)
        return EV_RATE_LIMIT_MAX;
    return static_cast<size_t>(std::max<int64_t>(1, bytes_per_second * tick_ms / 1000));
}

RateLimit::RateLimit(Core::EventLoop& loop, int64_t read_bytes_per_second, int64_t write_bytes_per_second)
{
    if (read_bytes_per_second <= 0 && write_bytes_per_second <= 0)
        return;
    auto read = bytes_per_tick(read_bytes_per_second);
    auto write = bytes_per_tick(write_bytes_per_second);
    timeval tick {};
    tick.tv_usec = tick_ms * 1000;
    m_bucket = ev_token_bucket_cfg_new(read, read, write, write, &tick);
    m_group = bufferevent_rate_limit_group_new(loop.base(), m_bucket);
}

RateLimit::~RateLimit()
{
    if (m_group)
        bufferevent_rate_limit_group_free(m_group);
    if (m_bucket)
        ev_token_bucket_cfg_free(m_bucket);
}

void RateLimit::add(bufferevent* stream)
{
    if (m_group)
        bufferevent_add_to_rate_limit_group(stream, m_group);
}

}
