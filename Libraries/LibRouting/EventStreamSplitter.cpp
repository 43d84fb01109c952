// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/EventStreamSplitter.h>

namespace Routing {

/// The offset after the first blank line at or after `from`; npos if there is none yet.
static size_t event_end(std::string const& text, size_t from)
{
    for (auto line_end = text.find('\n', from); line_end != std::string::npos; line_end = text.find('\n', line_end + 1)) {
        if (line_end + 1 < text.size() && text[line_end + 1] == '\n')
            return line_end + 2;
        if (line_end + 2 < text.size() && text[line_end + 1] == '\r' && text[line_end + 2] == '\n')
            return line_end + 3;
    }
    return std::string::npos;
}

std::vector<std::string> EventStreamSplitter::feed(std::string_view bytes)
{
    // The blank line may begin up to two bytes before the new bytes.
    static constexpr size_t overlap = 3;
    m_pending.append(bytes);
    std::vector<std::string> events;
    size_t begin = 0;
    size_t from = m_searched_bytes > overlap ? m_searched_bytes - overlap : 0;
    for (auto end = event_end(m_pending, from); end != std::string::npos; end = event_end(m_pending, begin)) {
        events.push_back(m_pending.substr(begin, end - begin));
        begin = end;
    }
    m_pending.erase(0, begin);
    m_searched_bytes = m_pending.size();
    return events;
}

}
