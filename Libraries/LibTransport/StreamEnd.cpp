// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/StreamEnd.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <memory>
#include <utility>

namespace Transport {

void end_stream(Core::EventLoop& loop, bufferevent*& stream)
{
    if (!stream)
        return;
    bufferevent_disable(stream, EV_READ | EV_WRITE);
    bufferevent_setcb(stream, nullptr, nullptr, nullptr, nullptr);
    // Where the loop ends first, dropping the owner frees the stream.
    auto owner = std::shared_ptr<bufferevent>(std::exchange(stream, nullptr), bufferevent_free);
    loop.soon([owner = std::move(owner)] {});
}

}
