// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <deque>
#include <string>
#include <vector>

namespace Routing {

/// The sending side of an answer: numbers its parts and keeps them until the receiver acknowledges them,
/// so that the answer resumes where it stopped when a lost link is connected again.
class AnswerBuffer {
public:
    explicit AnswerBuffer(std::string attempt);

    /// Numbers and stores a part. @return the part to send.
    Schema::Part append(std::string data, bool is_last);
    /// Like append(), for the HTTP status and headers.
    Schema::Part append_head(int64_t status, std::vector<Schema::Header> headers);

    /// The receiver holds every part whose sequence number is below `next_sequence`; these parts are dropped here.
    void acknowledge(int64_t next_sequence);

    /// The stored parts whose sequence number is `next_sequence` or higher. The answer may only be resumed with them if
    /// can_resume_from() holds: parts that were acknowledged are no longer stored.
    std::vector<Schema::Part> parts_from(int64_t next_sequence) const;
    bool can_resume_from(int64_t next_sequence) const;

    /// Bytes of data in parts that were not acknowledged.
    size_t unacknowledged_bytes() const { return m_unacknowledged_bytes; }
    bool has_last() const { return m_has_last; }
    /// Whether the answer ended and all of its parts were acknowledged.
    bool is_acknowledged() const { return m_has_last && m_parts.empty(); }

private:
    Schema::Part push(Schema::Part);

    std::string m_attempt;
    std::deque<Schema::Part> m_parts;
    int64_t m_next { 0 };
    size_t m_unacknowledged_bytes { 0 };
    bool m_has_last { false };
};

}
