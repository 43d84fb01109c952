// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Routing {

/// Splits the bytes of an event stream (text/event-stream, WHATWG HTML section 9.2) into complete events.
/// An event that the engine leaves incomplete is held back and never reaches a caller.
class EventStreamSplitter {
public:
    /// The largest incomplete event, in bytes. Callers drop a stream that is_oversized(), since such an event may never end.
    static constexpr size_t max_event_bytes = size_t { 1 } << 20;

    /// Appends received bytes. @return the events that they complete, each with the blank line that ends it.
    std::vector<std::string> feed(std::string_view bytes);

    bool has_partial_event() const { return !m_pending.empty(); }
    bool is_oversized() const { return m_pending.size() > max_event_bytes; }

private:
    std::string m_pending;
    // Number of bytes at the start of m_pending that were searched and contain no end of an event.
    size_t m_searched_bytes { 0 };
};

}
