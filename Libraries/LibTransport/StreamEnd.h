// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>

struct bufferevent;

namespace Transport {

/// Ends a connection whose own callback may be running: nothing more is heard of it, and it is freed in the next turn of the loop.
/// `stream` is null afterwards.
void end_stream(Core::EventLoop&, bufferevent*& stream);

}
