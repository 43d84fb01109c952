// SPDX-License-Identifier: BSD-2-Clause
#include "ServerSend.h"

#include <utility>

namespace DirectEntry {

ServerSend::ServerSend(Target target, Moment sent)
    : m_target(std::move(target))
    , m_sent_at(sent.at)
    , m_heard_at(sent.at)
{
    m_silence.on_received(sent.running);
}

void ServerSend::on_received(Moment now)
{
    m_heard_at = now.at;
    m_silence.on_received(now.running);
}

std::string ServerSend::incarnation() const
{
    return m_target.started_at_ms ? m_target.id + "@" + std::to_string(*m_target.started_at_ms) : m_target.id;
}

void ServerSend::on_connected(Moment now)
{
    m_is_connected = true;
    on_received(now);
}

void ServerSend::on_head(Platform::BackendHead answer, Moment now)
{
    m_has_head = true;
    m_answer = std::move(answer);
    on_received(now);
}

}
