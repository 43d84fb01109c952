// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/MalformedAnswers.h>

#include <LibCore/Log.h>

namespace Transport {

// Addresses come and go with borrowed instances, and a process keeps every series that it has counted.
static constexpr size_t max_counted_servers = 1000;

MalformedAnswers* MalformedAnswers::s_counter { nullptr };

MalformedAnswers::MalformedAnswers(Core::Metrics& metrics)
    : m_metrics(metrics)
{
    s_counter = this;
}

MalformedAnswers::~MalformedAnswers()
{
    s_counter = nullptr;
}

void MalformedAnswers::report(std::string const& address, uint16_t port, MessageFault fault)
{
    auto const server = address + ':' + std::to_string(port);
    Core::log_event(Core::LogLevel::Warn, "malformed_answer", { { "server", server }, { "fault", fault_name(fault) } });
    if (s_counter)
        s_counter->count(server, fault);
}

void MalformedAnswers::count(std::string const& server, MessageFault fault)
{
    if (m_servers.size() < max_counted_servers)
        m_servers.insert(server);
    auto const label = m_servers.contains(server) ? server : "other";
    m_metrics.count("mountbarrow_malformed_answers_total", "server=\"" + label + "\",fault=\"" + fault_name(fault) + '"');
}

}
