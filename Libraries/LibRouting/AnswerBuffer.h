// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <deque>
#include <string>
#include <vector>

namespace Routing {

/// The sending side of an answer: numbers its parts and keeps them until they are acknowledged,
/// so that a link that comes back goes on where it stopped.
class AnswerBuffer {
public:
    explicit AnswerBuffer(std::string attempt);

    Schema::Part append(std::string data, bool is_last);
    Schema::Part append_head(int64_t status, std::vector<Schema::Header> headers);

    /// The peer holds every part below `next_sequence`.
    void acknowledge(int64_t next_sequence);

    /// Parts to send again from `next_sequence`; nothing if they are no longer kept.
    std::vector<Schema::Part> since(int64_t next_sequence) const;
    bool can_resume_from(int64_t next_sequence) const;

    size_t kept_bytes() const { return m_kept_bytes; }
    bool has_last() const { return m_has_last; }
    bool is_acknowledged() const { return m_has_last && m_parts.empty(); }

private:
    Schema::Part push(Schema::Part);

    std::string m_attempt;
    std::deque<Schema::Part> m_parts;
    int64_t m_next { 0 };
    size_t m_kept_bytes { 0 };
    bool m_has_last { false };
};

}
