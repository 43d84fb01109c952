// SPDX-License-Identifier: BSD-2-Clause
#include "PeerAbilities.h"

#include <LibCore/Log.h>
#include <utility>

namespace DirectEntry {

static constexpr Core::Duration answer_patience { 1000 };
static constexpr int status_ok = 200;

std::string PeerAbilities::answer()
{
    return R"({"messages":["crash_news"]})";
}

PeerAbilities::PeerAbilities(Core::EventLoop& loop, std::optional<int64_t> port, std::function<void(std::string const&)> learned)
    : m_client(loop)
    , m_port(port)
    , m_learned(std::move(learned))
{
}

bool PeerAbilities::understands(std::string const& entry)
{
    if (!m_port)
        return true;
    auto const [known, is_new] = m_answers.try_emplace(entry, Answer::Awaited);
    if (is_new)
        ask(entry);
    return known->second == Answer::Understands;
}

void PeerAbilities::forget(std::string const& entry)
{
    m_answers.erase(entry);
}

void PeerAbilities::ask(std::string const& entry)
{
    Transport::HttpCallRequest call;
    call.address = entry;
    call.port = static_cast<uint16_t>(*m_port);
    call.path = std::string(path);
    call.timeout = answer_patience;
    m_client.call(call, [this, entry](auto const& answer) {
        auto const known = m_answers.find(entry);
        if (known == m_answers.end())
            return;
        if (!answer.has_value()) {
            // The query is repeated when the next message is to be sent to this entry.
            m_answers.erase(known);
            return;
        }
        bool const understands = answer->status == status_ok && answer->body == PeerAbilities::answer();
        known->second = understands ? Answer::Understands : Answer::DoesNot;
        Core::log_event(Core::LogLevel::Info, "entry_understands", { { "entry", entry }, { "crash_news", understands ? "yes" : "no" } });
        if (understands)
            m_learned(entry);
    });
}

}
