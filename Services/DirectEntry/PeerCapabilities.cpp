// SPDX-License-Identifier: BSD-2-Clause
#include "PeerCapabilities.h"

#include <LibCore/Log.h>
#include <utility>

namespace DirectEntry {

static constexpr Core::Duration query_timeout { 1000 };
static constexpr int status_ok = 200;

std::string PeerCapabilities::capabilities()
{
    return R"({"messages":["crash_news"]})";
}

PeerCapabilities::PeerCapabilities(Core::EventLoop& loop, std::optional<int64_t> port, std::function<void(std::string const&)> on_accepting)
    : m_client(loop)
    , m_port(port)
    , m_on_accepting(std::move(on_accepting))
{
}

bool PeerCapabilities::accepts_crash_messages(std::string const& entry)
{
    if (!m_port)
        return true;
    auto const [known, is_new] = m_answers.try_emplace(entry, Answer::Pending);
    if (is_new)
        query(entry);
    return known->second == Answer::Supported;
}

void PeerCapabilities::forget(std::string const& entry)
{
    m_answers.erase(entry);
}

void PeerCapabilities::query(std::string const& entry)
{
    Transport::HttpCallRequest call;
    call.address = entry;
    call.port = static_cast<uint16_t>(*m_port);
    call.path = std::string(path);
    call.timeout = query_timeout;
    m_client.call(call, [this, entry](auto const& answer) {
        auto const known = m_answers.find(entry);
        if (known == m_answers.end())
            return;
        if (!answer.has_value()) {
            // The query is repeated when the next message is to be sent to this entry.
            m_answers.erase(known);
            return;
        }
        bool const accepts = answer->status == status_ok && answer->body == PeerCapabilities::capabilities();
        known->second = accepts ? Answer::Supported : Answer::Unsupported;
        Core::log_event(Core::LogLevel::Info, "entry_understands", { { "entry", entry }, { "crash_news", accepts ? "yes" : "no" } });
        if (accepts)
            m_on_accepting(entry);
    });
}

}
