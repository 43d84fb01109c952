// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibPlatform/StoredBlames.h>
#include <LibRouting/CrashSuspects.h>
#include <LibSchema/Generated.h>
#include <LibTransport/BackendCall.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace DirectEntry {

/// Finds out whether a server ended when answers of it broke off, and shares with the other entries which requests that speaks
/// against.
class CrashWatch {
public:
    struct Callbacks {
        /// The other entries that are linked.
        std::function<std::vector<std::string>()> entries;
        std::function<void(std::string const& entry, Schema::Message const&)> send;
        /// The request is blamed from now on: what is in hand of it must end.
        std::function<void(std::string const& digest)> blamed;
    };

    /// `records`: null where the platform keeps nothing of the product's own.
    CrashWatch(Core::EventLoop&, std::string const& identity, std::unique_ptr<Platform::BlameRecords> records, Core::Metrics&, Callbacks);

    /// Reads what is remembered of earlier processes.
    void start() { m_kept.read(); }

    Routing::CrashSuspects const& suspects() const { return m_suspects; }

    /// Tries to connect to a server whose answer broke off. `callback` hears whether nobody listens there any more; a server that
    /// says nothing may live behind a cut.
    void ask_whether_ended(std::string const& server, std::string const& address, std::function<void(bool has_ended)> callback);

    /// A server ended while it ran the request. `incarnation` names the one start of the server.
    void on_ended_under(std::string const& incarnation, Routing::CrashSuspects::Run const&);
    /// The request ran to its end at some server.
    void on_ran_to_end(std::string const& digest);

    Routing::CrashSend on_sent(std::string const& digest, std::string const& server);
    void on_send_over(std::string const& digest, Routing::CrashSend);

    /// An entry has a new link: it may know nothing yet.
    void on_entry_linked(std::string const& entry) const;
    void on_news(std::string const& entry, Schema::CrashNews const&);
    void on_entry_gone(std::string const& entry) { m_suspects.on_peer_gone(entry); }

    /// The operator lets the request run again. @return false if it is no suspect.
    bool pardon(std::string const& digest);

    void report_metrics() const;

private:
    struct Question {
        std::unique_ptr<Transport::BackendCall> call;
        std::vector<std::function<void(bool)>> callbacks;
    };

    void answer(std::string const& server, bool has_ended);
    Schema::CrashNews& news();
    void tell_news();
    void note_blamed(std::vector<std::string> const& digests, char const* from);
    void clear(std::string const& digest, char const* reason);

    Core::EventLoop& m_loop;
    Core::Metrics& m_metrics;
    Callbacks m_callbacks;
    Routing::CrashSuspects m_suspects;
    Platform::StoredBlames m_kept;
    std::map<std::string, Question> m_questions;
    // Servers that were found ended, and when.
    std::map<std::string, Core::Time> m_ended;
    // What the other entries are told in the next turn.
    std::optional<Schema::CrashNews> m_news;
};

}
