// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Routing {

/// Cuts the bytes of an event stream (text/event-stream, WHATWG HTML section 9.2) into whole events.
/// What an engine leaves unfinished stays here and never reaches a caller.
class EventStream {
public:
    /// An event that never ends is no event: the stream is given up past this many bytes.
    static constexpr size_t max_event_bytes = size_t { 1 } << 20;

    /// Adds bytes, and returns the events that they complete, blank line included.
    std::vector<std::string> feed(std::string_view bytes);

    bool has_partial_event() const { return !m_pending.empty(); }
    bool is_overgrown() const { return m_pending.size() > max_event_bytes; }

private:
    std::string m_pending;
    // Bytes of m_pending in which no event's end was found.
    size_t m_searched { 0 };
};

}
