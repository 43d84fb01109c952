// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/OnceTable.h>

namespace Routing {

OnceTable::OnceTable(size_t most_bytes, Core::Duration lifetime)
    : m_most_bytes(most_bytes)
    , m_lifetime(lifetime)
{
}

OnceTable::Entry const* OnceTable::find(std::string const& key) const
{
    auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool OnceTable::begin(std::string const& key, std::string customer, Core::Time now)
{
    if (m_bytes + bytes_per_key > m_most_bytes)
        return false;
    Entry entry;
    entry.customer = std::move(customer);
    if (!m_entries.emplace(key, std::move(entry)).second)
        return false;
    m_bytes += bytes_per_key;
    m_by_age.emplace_back(now, key);
    return true;
}

void OnceTable::forget(std::string const& key)
{
    // Its row in m_by_age stays until expire() reaches it, and is skipped there.
    if (m_entries.erase(key) > 0)
        m_bytes -= bytes_per_key;
}

void OnceTable::answered(std::string const& key, KeptAnswer answer)
{
    auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    bool const fits = answer.body.size() <= largest_kept_answer && m_bytes + answer.body.size() <= m_most_bytes;
    if (!fits) {
        found->second.state = State::Unknown;
        return;
    }
    m_bytes += answer.body.size();
    found->second.state = State::Answered;
    found->second.answer = std::move(answer);
}

void OnceTable::unknown(std::string const& key)
{
    auto found = m_entries.find(key);
    if (found != m_entries.end())
        found->second.state = State::Unknown;
}

void OnceTable::expire(Core::Time now)
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
