// SPDX-License-Identifier: BSD-2-Clause
#include "BackendAttempt.h"

#include <utility>

namespace DirectEntry {

BackendAttempt::BackendAttempt(Target target, Moment sent)
    : m_target(std::move(target))
    , m_sent_at(sent.at)
    , m_last_received_at(sent.at)
{
    m_silence.on_received(sent.running);
}

void BackendAttempt::on_bytes_received(Moment now)
{
    m_last_received_at = now.at;
    m_silence.on_received(now.running);
}

std::string BackendAttempt::incarnation() const
{
    return m_target.started_at_ms ? m_target.id + "@" + std::to_string(*m_target.started_at_ms) : m_target.id;
}

void BackendAttempt::end_call()
{
    if (statements)
        statements->confirm();
    call.reset();
}

void BackendAttempt::on_connected(Moment now)
{
    m_is_connected = true;
    on_bytes_received(now);
}

void BackendAttempt::on_head(Platform::BackendHead answer, Transport::BodyEnd body_end, Moment now)
{
    m_has_head = true;
    m_body_end = body_end;
    m_answer_head = std::move(answer);
    on_bytes_received(now);
}

}
