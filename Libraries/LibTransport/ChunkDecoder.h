// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibTransport/MessageHead.h>
#include <functional>

namespace Transport {

/// Decodes a body in the chunked coding (RFC 9112, section 7.1), as its bytes come. Chunk extensions and the fields behind the last chunk
/// are checked and dropped.
class ChunkDecoder {
public:
    /// @param max_trailer_bytes longest fields behind the last chunk, together.
    explicit ChunkDecoder(size_t max_trailer_bytes);

    /// Takes bytes off `bytes` up to the end of the body, and hands on what they carry.
    /// @return the fault after which the rest cannot be read.
    tl::expected<void, MessageFault> decode(std::string_view& bytes, std::function<void(std::string_view)> const& on_data);

    /// The last chunk and the empty line behind it were read.
    bool is_whole() const { return m_state == State::Whole; }
    size_t held_bytes() const { return m_line.size(); }

private:
    enum class State {
        Size,
        Data,
        DataEnd,
        Trailer,
        Whole,
    };

    /// Takes the bytes of a line off `bytes`. @return whether the line is whole.
    tl::expected<bool, MessageFault> collect_line(std::string_view& bytes, size_t max_bytes);
    tl::expected<void, MessageFault> take_collected_line();

    size_t m_max_trailer_bytes;
    State m_state { State::Size };
    // The line under way, with its CR LF once it is whole.
    std::string m_line;
    uint64_t m_left_in_chunk { 0 };
    size_t m_trailer_bytes { 0 };
};

}
