// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/Replica.h>

#include <LibSchema/Json.h>

namespace Configuration {

static constexpr size_t max_recent_bytes = 4 * 1024 * 1024;
static constexpr size_t max_recent_chains = 1024;
// Well below the largest message that a link accepts.
static constexpr size_t max_records_message_bytes = 1024 * 1024;

int64_t Replica::next_offset() const
{
    return m_buffered_records.empty() ? m_state.offset() + 1 : m_buffered_records.back().offset + 1;
}

bool Replica::on_log(LogBatch const& batch)
{
    auto const before = m_state.offset();
    bool const needs_deleted_records = batch.first_retained > m_state.offset() + 1;
    if (needs_deleted_records)
        return start_from_snapshot(batch);
    m_buffered_records.clear();
    on_records(batch.records);
    return m_state.offset() > before;
}

bool Replica::start_from_snapshot(LogBatch const& batch)
{
    auto const before = m_state.offset();
    for (auto const& record : batch.records) {
        if (!m_buffered_records.empty() && record.offset != m_buffered_records.back().offset + 1)
            m_buffered_records.clear();
        m_buffered_records.push_back(record);
        auto parsed = Schema::from_text<Schema::LogRecord>(record.body);
        if (!parsed.has_value() || !parsed->snapshot)
            continue;
        // Every record after the snapshot's offset must be buffered, or the state would lack records.
        if (parsed->snapshot->folds_to + 1 < m_buffered_records.front().offset)
            continue;
        auto state = Schema::from_text<Schema::FoldState>(parsed->snapshot->state);
        if (!state.has_value() || !m_state.advance_to(*state))
            continue;
        m_recent_records.clear();
        m_recent_bytes = 0;
        m_recent_chains.clear();
        auto waiting = std::exchange(m_buffered_records, {});
        on_records(waiting);
        // Applies the rest of the batch, which follows the buffered records.
        on_records(batch.records);
        break;
    }
    return m_state.offset() > before;
}

bool Replica::on_records(std::vector<Schema::Record> const& records)
{
    auto const before = m_state.offset();
    for (auto const& record : records) {
        if (record.offset <= m_state.offset())
            continue;
        if (record.offset != m_state.offset() + 1)
            break;
        apply_record(record);
    }
    if (m_state.offset() > before)
        m_buffered_records.clear();
    return m_state.offset() > before;
}

void Replica::apply_record(Schema::Record const& record)
{
    compare_snapshot_digest(record);
    m_state.apply(record.body);
    m_recent_chains.emplace_back(m_state.offset(), m_state.chain());
    if (m_recent_chains.size() > max_recent_chains)
        m_recent_chains.pop_front();
    m_recent_records.push_back(record);
    m_recent_bytes += record.body.size();
    while (m_recent_bytes > max_recent_bytes) {
        m_recent_bytes -= m_recent_records.front().body.size();
        m_recent_records.pop_front();
    }
}

void Replica::compare_snapshot_digest(Schema::Record const& record)
{
    auto parsed = Schema::from_text<Schema::LogRecord>(record.body);
    if (!parsed.has_value() || !parsed->snapshot)
        return;
    m_newest_snapshot_offset = record.offset;
    for (auto const& [offset, chain] : m_recent_chains) {
        if (offset == parsed->snapshot->folds_to && chain != parsed->snapshot->chain)
            m_divergences += 1;
    }
}

bool Replica::on_snapshot(Schema::Snapshot const& snapshot)
{
    if (snapshot.folds_to <= m_state.offset())
        return false;
    auto state = Schema::from_text<Schema::FoldState>(snapshot.state);
    if (!state.has_value() || !m_state.advance_to(*state))
        return false;
    m_recent_records.clear();
    m_recent_bytes = 0;
    m_recent_chains.clear();
    m_buffered_records.clear();
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
    if (offset >= m_state.offset())
        return messages;
    if (m_recent_records.empty() || m_recent_records.front().offset > offset + 1) {
        Schema::Message message;
        message.snapshot.emplace();
        message.snapshot->folds_to = m_state.offset();
        message.snapshot->state = Schema::to_text(m_state.snapshot_state());
        messages.push_back(std::move(message));
        return messages;
    }
    size_t bytes = max_records_message_bytes;
    for (auto const& record : m_recent_records) {
        if (record.offset <= offset)
            continue;
        if (bytes >= max_records_message_bytes) {
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
    record.snapshot->folds_to = m_state.offset();
    record.snapshot->chain = m_state.chain();
    record.snapshot->state = Schema::to_text(m_state.snapshot_state());
    return Schema::to_text(record);
}

}
