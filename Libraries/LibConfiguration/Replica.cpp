// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/Replica.h>

#include <LibSchema/Json.h>

namespace Configuration {

static constexpr size_t recent_bytes_limit = 4 * 1024 * 1024;
static constexpr size_t remembered_chains = 1024;
// Well below the largest message that a link accepts.
static constexpr size_t records_message_bytes = 1024 * 1024;

int64_t Replica::next_offset() const
{
    return m_waiting.empty() ? m_fold.offset() + 1 : m_waiting.back().offset + 1;
}

bool Replica::on_log(LogBatch const& batch)
{
    auto const before = m_fold.offset();
    bool const needs_lapsed_records = batch.first_retained > m_fold.offset() + 1;
    if (needs_lapsed_records)
        return start_from_snapshot(batch);
    m_waiting.clear();
    on_records(batch.records);
    return m_fold.offset() > before;
}

bool Replica::start_from_snapshot(LogBatch const& batch)
{
    auto const before = m_fold.offset();
    for (auto const& record : batch.records) {
        if (!m_waiting.empty() && record.offset != m_waiting.back().offset + 1)
            m_waiting.clear();
        m_waiting.push_back(record);
        auto parsed = Schema::from_text<Schema::LogRecord>(record.body);
        if (!parsed.has_value() || !parsed->snapshot)
            continue;
        // Every record after the snapshot's offset must be buffered, or the state would lack records.
        if (parsed->snapshot->folds_to + 1 < m_waiting.front().offset)
            continue;
        auto state = Schema::from_text<Schema::FoldState>(parsed->snapshot->state);
        if (!state.has_value() || !m_fold.advance_to(*state))
            continue;
        m_recent.clear();
        m_recent_bytes = 0;
        m_chains.clear();
        auto waiting = std::exchange(m_waiting, {});
        on_records(waiting);
        // Applies the rest of the batch, which follows the buffered records.
        on_records(batch.records);
        break;
    }
    return m_fold.offset() > before;
}

bool Replica::on_records(std::vector<Schema::Record> const& records)
{
    auto const before = m_fold.offset();
    for (auto const& record : records) {
        if (record.offset <= m_fold.offset())
            continue;
        if (record.offset != m_fold.offset() + 1)
            break;
        fold_record(record);
    }
    if (m_fold.offset() > before)
        m_waiting.clear();
    return m_fold.offset() > before;
}

void Replica::fold_record(Schema::Record const& record)
{
    look_for_snapshot(record);
    m_fold.apply(record.body);
    m_chains.emplace_back(m_fold.offset(), m_fold.chain());
    if (m_chains.size() > remembered_chains)
        m_chains.pop_front();
    m_recent.push_back(record);
    m_recent_bytes += record.body.size();
    while (m_recent_bytes > recent_bytes_limit) {
        m_recent_bytes -= m_recent.front().body.size();
        m_recent.pop_front();
    }
}

void Replica::look_for_snapshot(Schema::Record const& record)
{
    auto parsed = Schema::from_text<Schema::LogRecord>(record.body);
    if (!parsed.has_value() || !parsed->snapshot)
        return;
    m_newest_snapshot_offset = record.offset;
    for (auto const& [offset, chain] : m_chains) {
        if (offset == parsed->snapshot->folds_to && chain != parsed->snapshot->chain)
            m_divergences += 1;
    }
}

bool Replica::on_snapshot(Schema::Snapshot const& snapshot)
{
    if (snapshot.folds_to <= m_fold.offset())
        return false;
    auto state = Schema::from_text<Schema::FoldState>(snapshot.state);
    if (!state.has_value() || !m_fold.advance_to(*state))
        return false;
    m_recent.clear();
    m_recent_bytes = 0;
    m_chains.clear();
    m_waiting.clear();
    return true;
}

bool Replica::on_message(Schema::Message const& message)
{
    if (message.records)
        return on_records(message.records->records);
    return message.snapshot && on_snapshot(*message.snapshot);
}

std::vector<Schema::Message> Replica::messages_since(int64_t offset) const
{
    std::vector<Schema::Message> messages;
    if (offset >= m_fold.offset())
        return messages;
    if (m_recent.empty() || m_recent.front().offset > offset + 1) {
        Schema::Message message;
        message.snapshot.emplace();
        message.snapshot->folds_to = m_fold.offset();
        message.snapshot->state = Schema::to_text(m_fold.state());
        messages.push_back(std::move(message));
        return messages;
    }
    size_t bytes = records_message_bytes;
    for (auto const& record : m_recent) {
        if (record.offset <= offset)
            continue;
        if (bytes >= records_message_bytes) {
            messages.emplace_back();
            messages.back().records.emplace();
            bytes = 0;
        }
        bytes += record.body.size();
        messages.back().records->records.push_back(record);
    }
    return messages;
}

std::string Replica::snapshot_record() const
{
    Schema::LogRecord record;
    record.snapshot.emplace();
    record.snapshot->folds_to = m_fold.offset();
    record.snapshot->chain = m_fold.chain();
    record.snapshot->state = Schema::to_text(m_fold.state());
    return Schema::to_text(record);
}

}
