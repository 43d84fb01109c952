// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AnswerAssembly.h>

#include <LibCore/HttpText.h>
#include <algorithm>

namespace Routing {

/// An agent of an older build may pass on what its backend server sent without checking it.
static bool has_valid_head(Schema::Part const& part)
{
    if (part.status && !Core::is_final_status(*part.status))
        return false;
    auto const is_valid = [](Schema::Header const& header) { return Core::is_token(header.name) && Core::is_field_value(header.value); };
    return !part.headers || std::all_of(part.headers->begin(), part.headers->end(), is_valid);
}

AnswerAssembly::PartResult AnswerAssembly::add(Schema::Part part)
{
    auto const sequence = part.sequence;
    if (sequence < m_next || m_waiting.contains(sequence))
        return PartResult::Duplicate;
    if (sequence >= m_next + max_parts_ahead || !has_valid_head(part))
        return PartResult::Invalid;
    if (m_last && (sequence > *m_last || part.last))
        return PartResult::Invalid;
    if (part.last) {
        if (!m_waiting.empty() && m_waiting.rbegin()->first > sequence)
            return PartResult::Invalid;
        m_last = sequence;
    }
    m_waiting.emplace(sequence, std::move(part));
    return PartResult::Accepted;
}

std::vector<Schema::Part> AnswerAssembly::take_ready()
{
    std::vector<Schema::Part> ready;
    while (!m_waiting.empty() && m_waiting.begin()->first == m_next) {
        ready.push_back(std::move(m_waiting.begin()->second));
        m_waiting.erase(m_waiting.begin());
        m_next += 1;
    }
    return ready;
}

}
