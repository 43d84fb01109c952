// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/IdempotencyTable.h>

namespace Routing {

IdempotencyTable::IdempotencyTable(size_t max_bytes, Core::Duration lifetime)
    : m_max_bytes(max_bytes)
    , m_lifetime(lifetime)
{
}

IdempotencyTable::Entry const* IdempotencyTable::find(std::string const& key) const
{
    auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool IdempotencyTable::begin(std::string const& key, std::string customer, Core::Time now)
{
    if (m_bytes + bytes_per_key > m_max_bytes)
        return false;
    Entry entry;
    entry.customer = std::move(customer);
    if (!m_entries.emplace(key, std::move(entry)).second)
        return false;
    m_bytes += bytes_per_key;
    m_by_age.emplace_back(now, key);
    return true;
}

void IdempotencyTable::remove(std::string const& key)
{
    // Its row in m_by_age stays until expire() reaches it, and is skipped there.
    if (m_entries.erase(key) > 0)
        m_bytes -= bytes_per_key;
}

void IdempotencyTable::record_answer(std::string const& key, StoredAnswer answer)
{
    auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    bool const fits = answer.body.size() <= max_stored_body_bytes && m_bytes + answer.body.size() <= m_max_bytes;
    if (!fits) {
        found->second.state = State::Unknown;
        return;
    }
    m_bytes += answer.body.size();
    found->second.state = State::Answered;
    found->second.answer = std::move(answer);
}

void IdempotencyTable::unknown(std::string const& key)
{
    auto found = m_entries.find(key);
    if (found != m_entries.end())
        found->second.state = State::Unknown;
}

void IdempotencyTable::expire(Core::Time now)
{
    while (!m_by_age.empty() && m_by_age.front().first + m_lifetime <= now) {
        auto found = m_entries.find(m_by_age.front().second);
        if (found != m_entries.end() && found->second.state != State::Running) {
            m_bytes -= bytes_per_key + found->second.answer.body.size();
            m_entries.erase(found);
        } else if (found != m_entries.end()) {
            // A key that is still Running is checked again one lifetime later.
            m_by_age.emplace_back(now, m_by_age.front().second);
        }
        m_by_age.pop_front();
    }
}

}
