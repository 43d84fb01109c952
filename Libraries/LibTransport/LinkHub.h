// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibTransport/Link.h>
#include <map>
#include <set>

namespace Transport {

struct LinkAddress {
    std::string address;
    uint16_t port { 0 };

    bool operator==(LinkAddress const&) const = default;
};

/// All links of a process: those that it accepts, and those that it keeps dialling.
class LinkHub {
public:
    struct Callbacks {
        /// A peer has a new link; any older one of the same direction is closed and its unread bytes are gone. With
        /// LinkOptions::keep_alive also where one of its links ended and another is left: what the first carried may be gone.
        std::function<void(Schema::Hello const&)> up;
        std::function<void(Schema::Hello const&, Schema::Message const&)> message;
        /// The last link to a peer is gone.
        std::function<void(std::string const& identity)> down;
        /// A link was refused or broken by its peer.
        std::function<void(Core::ErrorCode)> failed;
        /// Nothing came over a link of this peer for so long: it is given up, and dialled anew where it was dialled. Only with
        /// LinkOptions::keep_alive.
        std::function<void(std::string const& identity, Core::Duration)> silent {};
    };

    LinkHub(Core::EventLoop&, LinkOptions, Callbacks);
    ~LinkHub();

    /// May be called for several addresses. @return the port bound, or AddressInUse.
    Core::ErrorOr<uint16_t> listen(std::string const& address, uint16_t port);

    /// The peers to keep a link to, by identity. Links to others that were dialled are closed.
    void set_wanted(std::map<std::string, LinkAddress>);

    /// Sends to a peer. False means that nothing was or will be sent.
    bool send(std::string const& identity, Schema::Message const&);

    /// Ends all links to a peer, as if they had broken.
    void drop(std::string const& identity);

    /// Ends all links, with all that waits to be read from them, and dials those that were dialled anew at once.
    void drop_all();

    bool is_up(std::string const& identity) const;
    /// Whether a peer of this role has dialled this process, and the link is up.
    bool has_accepted(Schema::Role) const;
    Schema::Hello const* peer(std::string const& identity) const;
    std::vector<std::string> peers(Schema::Role) const;
    /// Whether a link has bytes that the system has not taken yet.
    bool has_unsent() const;
    LinkTraffic const& traffic() const { return *m_options.traffic; }

private:
    enum class Direction {
        Dialled,
        Accepted,
    };
    using LinkKey = std::pair<std::string, Direction>;

    struct Dial {
        LinkAddress target;
        std::shared_ptr<Link> link;
        Core::Time not_before { 0 };
        Core::Duration backoff { 0 };
        Core::Duration handshake_limit { 0 };
    };

    Link::Callbacks callbacks(Direction, std::string const& wanted_identity);
    void on_ready(Direction, std::string const& wanted_identity, Link&, Schema::Hello const&);
    void on_closed(Direction, std::string const& wanted_identity, Link&, Core::ErrorCode);
    void forget(LinkKey const&, Link const&);
    void dial_due();
    std::shared_ptr<Link> link_for_sending(std::string const& identity) const;
    /// How a link to a peer is kept alive; both ends go by the same. Only with LinkOptions::keep_alive.
    LinkKeepAlive const& keep_alive_with(Schema::Hello const& peer) const;
    void keep_alive();
    void ping_quiet_links(Core::Time now);
    void drop_silent_links(Core::Time now);
    void drop_silent(LinkKey const&, Core::Duration silent_for);
    void reset_link(LinkKey const&);

    Core::EventLoop& m_loop;
    LinkOptions m_options;
    Callbacks m_callbacks;
    std::vector<std::unique_ptr<LinkListener>> m_listeners;
    std::set<std::shared_ptr<Link>> m_accepting;
    std::map<LinkKey, std::shared_ptr<Link>> m_links;
    std::map<std::string, Dial> m_dials;
    std::unique_ptr<Core::Timer> m_dial_timer;
    std::unique_ptr<Core::Timer> m_keep_alive_timer;
    Core::Time m_kept_alive_at;
};

}
