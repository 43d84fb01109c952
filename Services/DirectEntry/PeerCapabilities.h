// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace DirectEntry {

/// Determines which other entries accept the newer messages about crashes and refused requests.
///
/// Older builds close a link when they receive a message with a member that they do not know, so a question over the link would close
/// it too. Each entry is therefore queried over HTTP at its metrics port, where older builds answer any path with their metrics.
/// An entry is queried when the first such message is to be sent over its link, and again only if the query failed.
class PeerCapabilities {
public:
    /// HTTP path of the capabilities query.
    static constexpr std::string_view path = "/understands";
    /// The body of this build's answer to the query, as JSON.
    static std::string capabilities();

    /// @param port the metrics port of all entries; if it is std::nullopt, all entries are assumed to accept the messages.
    /// @param on_accepting called for each entry whose answer shows that it accepts them.
    PeerCapabilities(Core::EventLoop&, std::optional<int64_t> port, std::function<void(std::string const& entry)> on_accepting);

    /// Whether the entry is known to accept the messages. If that is unknown, returns false and queries the entry.
    bool accepts_crash_messages(std::string const& entry);

    /// Drops the answer of an entry whose link is down: it may come back with another build.
    void forget(std::string const& entry);

private:
    enum class Answer {
        Pending,
        Supported,
        Unsupported,
    };

    void query(std::string const& entry);

    Transport::HttpClient m_client;
    std::optional<int64_t> m_port;
    std::function<void(std::string const&)> m_on_accepting;
    std::map<std::string, Answer> m_answers;
};

}
