// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibTransport/HttpClient.h>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace DirectEntry {

/// Which other entries understand messages about crashes. Builds that do not know them end the link that one comes over, and a link
/// cannot ask: they end it at any member that they do not know. So an entry is asked over HTTP, on its address for metrics, where such
/// builds answer with their metrics whatever they are asked. It is asked once, when there is something to tell it.
class PeerAbilities {
public:
    /// The path under which an entry tells what it understands, and what it answers there.
    static constexpr std::string_view path = "/understands";
    static std::string answer();

    /// `port`: that of the entries' metrics; without one, all entries are taken to understand. `learned` is called for each entry that
    /// turns out to.
    PeerAbilities(Core::EventLoop&, std::optional<int64_t> port, std::function<void(std::string const& entry)> learned);

    /// Whether the entry is known to understand. Where that is not known yet, it is asked.
    bool understands(std::string const& entry);

    /// Its link is gone: another build may be there next.
    void forget(std::string const& entry);

private:
    enum class Answer {
        Awaited,
        Understands,
        DoesNot,
    };

    void ask(std::string const& entry);

    Transport::HttpClient m_client;
    std::optional<int64_t> m_port;
    std::function<void(std::string const&)> m_learned;
    std::map<std::string, Answer> m_answers;
};

}
