// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AnswerBuffer.h>

namespace Routing {

AnswerBuffer::AnswerBuffer(std::string attempt)
    : m_attempt(std::move(attempt))
{
}

Schema::Part AnswerBuffer::push(Schema::Part part)
{
    part.attempt = m_attempt;
    part.sequence = m_next++;
    m_has_last = part.last;
    m_unacknowledged_bytes += part.data.size();
    m_parts.push_back(part);
    return part;
}

Schema::Part AnswerBuffer::append(std::string data, bool is_last)
{
    Schema::Part part {};
    part.data = std::move(data);
    part.last = is_last;
    return push(std::move(part));
}

Schema::Part AnswerBuffer::append_head(int64_t status, std::vector<Schema::Header> headers)
{
    Schema::Part part {};
    part.status = status;
    part.headers = std::move(headers);
    part.last = false;
    return push(std::move(part));
}

void AnswerBuffer::acknowledge(int64_t next_sequence)
{
    while (!m_parts.empty() && m_parts.front().sequence < next_sequence) {
        m_unacknowledged_bytes -= m_parts.front().data.size();
        m_parts.pop_front();
    }
}

bool AnswerBuffer::can_resume_from(int64_t next_sequence) const
{
    int64_t const oldest = m_next - static_cast<int64_t>(m_parts.size());
    return next_sequence >= oldest && next_sequence <= m_next;
}

std::vector<Schema::Part> AnswerBuffer::parts_from(int64_t next_sequence) const
{
    std::vector<Schema::Part> parts;
    for (auto const& part : m_parts) {
        if (part.sequence >= next_sequence)
            parts.push_back(part);
    }
    return parts;
}

}
