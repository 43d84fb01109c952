// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Metrics.h>
#include <LibTransport/MessageHead.h>
#include <set>
#include <string>

namespace Transport {

/// Counts the malformed answers that the clients of this process read, while it lives: `mountbarrow_malformed_answers_total` by server and
/// fault. At most one exists at a time; `Metrics` outlives it.
class MalformedAnswers {
public:
    explicit MalformedAnswers(Core::Metrics&);
    ~MalformedAnswers();
    MalformedAnswers(MalformedAnswers const&) = delete;
    MalformedAnswers& operator=(MalformedAnswers const&) = delete;

    /// Logs that a server sent what is no answer, and counts it if a counter exists.
    static void report(std::string const& address, uint16_t port, MessageFault);

private:
    void count(std::string const& server, MessageFault);

    Core::Metrics& m_metrics;
    // Servers that are counted by their own address.
    std::set<std::string> m_servers;
    static MalformedAnswers* s_counter;
};

}
