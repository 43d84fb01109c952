// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibSchema/Generated.h>
#include <LibTransport/Handshake.h>
#include <LibTransport/WebSocketCodec.h>
#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace Transport {

/// Bytes that all links of a process carried, frames included.
struct LinkTraffic {
    uint64_t sent { 0 };
    uint64_t received { 0 };
    /// Messages with something in them that this build does not know.
    uint64_t unknown_members { 0 };
};

/// How a dead link is told from one that has nothing to say: a connection may fall silent for good without a word.
struct LinkKeepAlive {
    /// A link that carried nothing for this long carries a ping. Longer than the half second after which entries have news
    /// for each other anyway.
    Core::Duration ping_after { 550 };
    /// A link over which nothing came for this long is dead: two pings of the peer are lost, with time to spare.
    Core::Duration silence { 1500 };
};

/// The same among agents, who have most links and nothing to say over them between two versions: of the work of an agent at
/// rest their pings were the greater part. One lost ping is borne instead of two.
inline constexpr LinkKeepAlive keep_alive_among_agents { Core::Duration(800), Core::Duration(1900) };

/// What every link of a process shares.
struct LinkOptions {
    Identity identity;
    std::vector<std::string> keys;
    /// Highest configuration offset folded, and the version of the instance list, at the time of a hello.
    std::function<int64_t()> offset;
    std::function<int64_t()> list_version;
    std::shared_ptr<LinkTraffic> traffic = std::make_shared<LinkTraffic>();
    /// Nothing: the owner looks after silent links itself.
    std::optional<LinkKeepAlive> keep_alive;
};

/// One authenticated WebSocket between two processes, carried by one bufferevent.
class Link : public std::enable_shared_from_this<Link> {
public:
    struct Callbacks {
        /// The peer proved its key; only now may messages be sent.
        std::function<void(Link&, Schema::Hello const&)> ready;
        std::function<void(Link&, Schema::Message const&)> message;
        /// The link is over; it is not called when the owner closes it.
        std::function<void(Link&, Core::ErrorCode)> closed;
    };

    /// Ends by itself where the connection does not stand soon, or the peer has not proved its key within `handshake_limit` of
    /// the call.
    static std::shared_ptr<Link> dial(Core::EventLoop&, LinkOptions const&, std::string const& address, uint16_t port, Core::Duration handshake_limit, Callbacks);
    static std::shared_ptr<Link> accept(Core::EventLoop&, LinkOptions const&, int socket, Callbacks);
    ~Link();

    /// Sends a message. False means that nothing was or will be sent.
    bool send(Schema::Message const&);

    /// Ends the link without calling back.
    void close();

    /// The same for a link that is dead: the peer, where anything reaches it, hears of it at once.
    void reset();

    bool is_ready() const { return m_is_ready; }
    Schema::Hello const& peer() const { return m_peer; }

    /// Bytes that wait to be sent.
    size_t pending_bytes() const;

    Core::Time heard_at() const { return m_heard_at; }
    Core::Time sent_at() const { return m_sent_at; }

    /// This process stood still for so long: what came meanwhile lies unread, and is no silence.
    void excuse(Core::Duration pause) { m_heard_at = std::min(m_heard_at + pause, Core::monotonic_now()); }

private:
    Link(Core::EventLoop&, LinkOptions const&, Handshake::Side, Callbacks);

    void attach(bufferevent*, Core::Duration handshake_limit);
    void begin();
    void on_bytes();
    void on_payload(std::string_view);
    void on_handshake(Schema::Message const&);
    void fail(Core::ErrorCode);
    void finish_failing();

    Core::EventLoop& m_loop;
    LinkOptions const& m_options;
    Callbacks m_callbacks;
    Handshake m_handshake;
    WebSocketCodec m_codec;
    bufferevent* m_stream { nullptr };
    Schema::Hello m_peer {};
    std::unique_ptr<Core::Timer> m_handshake_timer;
    std::unique_ptr<Core::Timer> m_connect_timer;
    Core::Time m_heard_at;
    Core::Time m_sent_at;
    bool m_is_ready { false };
    // Bytes received while the peer had not proved its key.
    size_t m_handshake_bytes { 0 };
    bool m_is_over { false };
};

/// Accepts links on a port.
class LinkListener {
public:
    /// @return AddressInUse if the port cannot be bound.
    static Core::ErrorOr<std::unique_ptr<LinkListener>> create(Core::EventLoop&, std::string const& address, uint16_t port, std::function<void(int socket)>);
    ~LinkListener();

    uint16_t port() const;

private:
    LinkListener() = default;

    evconnlistener* m_listener { nullptr };
    std::function<void(int)> m_on_socket;
};

}
