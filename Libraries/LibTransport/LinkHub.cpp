// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/LinkHub.h>

#include <algorithm>
#include <utility>

namespace Transport {

static constexpr Core::Duration dial_interval { 50 };
static constexpr Core::Duration first_backoff { 100 };
static constexpr Core::Duration longest_backoff { 2000 };
// Two round trips between regions and a peer's turn. A peer that is only slow is given more each time.
static constexpr Core::Duration first_handshake_limit { 1500 };
static constexpr Core::Duration longest_handshake_limit { 5000 };
static constexpr Core::Duration keep_alive_interval { 100 };

LinkHub::LinkHub(Core::EventLoop& loop, LinkOptions options, Callbacks callbacks)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_dial_timer(loop.every(dial_interval, [this] { dial_due(); }))
    , m_kept_alive_at(Core::monotonic_now())
{
    if (m_options.keep_alive)
        m_keep_alive_timer = loop.every(keep_alive_interval, [this] { keep_alive(); });
}

LinkHub::~LinkHub() = default;

Core::ErrorOr<uint16_t> LinkHub::listen(std::string const& address, uint16_t port)
{
    auto listener = TRY(LinkListener::create(m_loop, address, port, [this](int socket) {
        m_accepting.insert(Link::accept(m_loop, m_options, socket, callbacks(Direction::Accepted, {})));
    }));
    auto const bound = listener->port();
    m_listeners.push_back(std::move(listener));
    return bound;
}

Link::Callbacks LinkHub::callbacks(Direction direction, std::string const& wanted_identity)
{
    return {
        .ready = [this, direction, wanted_identity](Link& link, Schema::Hello const& hello) { on_ready(direction, wanted_identity, link, hello); },
        .message = [this](Link& link, Schema::Message const& message) { m_callbacks.message(link.peer(), message); },
        .closed = [this, direction, wanted_identity](Link& link, Core::ErrorCode code) { on_closed(direction, wanted_identity, link, code); },
    };
}

void LinkHub::on_ready(Direction direction, std::string const& wanted_identity, Link& link, Schema::Hello const& hello)
{
    auto owner = link.shared_from_this();
    m_accepting.erase(owner);
    bool const is_other = !wanted_identity.empty() && hello.identity != wanted_identity;
    if (is_other || hello.identity == m_options.identity.id) {
        // Another instance took over the address, or this one reached itself.
        link.close();
        on_closed(direction, wanted_identity, link, Core::ErrorCode::BadCredentials);
        return;
    }
    auto const key = LinkKey(hello.identity, direction);
    bool const replaces = m_links.contains(key);
    if (replaces) {
        m_links[key]->close();
        m_links.erase(key);
        if (!is_up(hello.identity))
            m_callbacks.down(hello.identity);
    }
    m_links[key] = owner;
    if (auto dial = m_dials.find(wanted_identity); dial != m_dials.end())
        dial->second.backoff = dial->second.handshake_limit = Core::Duration(0);
    m_callbacks.up(hello);
}

void LinkHub::forget(LinkKey const& key, Link const& link)
{
    auto found = m_links.find(key);
    if (found == m_links.end() || found->second.get() != &link)
        return;
    m_links.erase(found);
    auto const* left = peer(key.first);
    if (!left)
        m_callbacks.down(key.first);
    else if (m_options.keep_alive)
        m_callbacks.up(*left);
}

void LinkHub::on_closed(Direction direction, std::string const& wanted_identity, Link& link, Core::ErrorCode code)
{
    auto owner = link.shared_from_this();
    m_accepting.erase(owner);
    if (auto dial = m_dials.find(wanted_identity); dial != m_dials.end() && dial->second.link == owner) {
        auto& state = dial->second;
        state.link.reset();
        state.backoff = std::clamp(state.backoff * 2, first_backoff, longest_backoff);
        state.not_before = Core::monotonic_now() + state.backoff;
    }
    m_callbacks.failed(code);
    if (!link.peer().identity.empty())
        forget({ link.peer().identity, direction }, link);
}

void LinkHub::set_wanted(std::map<std::string, LinkAddress> wanted)
{
    std::vector<std::string> unwanted;
    for (auto const& [identity, dial] : m_dials) {
        auto found = wanted.find(identity);
        if (found == wanted.end() || found->second != dial.target)
            unwanted.push_back(identity);
    }
    for (auto const& identity : unwanted) {
        auto link = m_dials[identity].link;
        m_dials.erase(identity);
        if (!link)
            continue;
        link->close();
        forget({ identity, Direction::Dialled }, *link);
    }
    for (auto& [identity, target] : wanted) {
        if (!m_dials.contains(identity))
            m_dials[identity].target = target;
    }
    dial_due();
}

void LinkHub::dial_due()
{
    auto const now = Core::monotonic_now();
    for (auto& [identity, dial] : m_dials) {
        if (dial.link || now < dial.not_before)
            continue;
        dial.handshake_limit = std::clamp(dial.handshake_limit * 2, first_handshake_limit, longest_handshake_limit);
        dial.link = Link::dial(m_loop, m_options, dial.target.address, dial.target.port, dial.handshake_limit, callbacks(Direction::Dialled, identity));
    }
}

/// The dialled link, but for one that is perhaps dead while the other is heard.
std::shared_ptr<Link> LinkHub::link_for_sending(std::string const& identity) const
{
    auto const dialled = m_links.find({ identity, Direction::Dialled });
    auto const accepted = m_links.find({ identity, Direction::Accepted });
    if (dialled == m_links.end())
        return accepted == m_links.end() ? nullptr : accepted->second;
    if (accepted == m_links.end() || !m_options.keep_alive)
        return dialled->second;
    // A ping may be on its way for as long as the next one takes to follow.
    auto const doubted_after = keep_alive_with(dialled->second->peer()).ping_after * 2;
    bool const is_doubted = accepted->second->heard_at() - dialled->second->heard_at() > doubted_after;
    return is_doubted ? accepted->second : dialled->second;
}

bool LinkHub::send(std::string const& identity, Schema::Message const& message)
{
    auto const link = link_for_sending(identity);
    return link && link->send(message);
}

LinkKeepAlive const& LinkHub::keep_alive_with(Schema::Hello const& peer) const
{
    bool const is_among_agents = m_options.identity.role == Schema::Role::Agent && peer.role == Schema::Role::Agent;
    return is_among_agents ? keep_alive_among_agents : *m_options.keep_alive;
}

void LinkHub::keep_alive()
{
    auto const now = Core::monotonic_now();
    auto const pause = now - std::exchange(m_kept_alive_at, now) - keep_alive_interval;
    if (pause > keep_alive_interval) {
        for (auto const& [key, link] : m_links)
            link->excuse(pause);
    }
    ping_quiet_links(now);
    drop_silent_links(now);
}

void LinkHub::ping_quiet_links(Core::Time now)
{
    Schema::Message ping;
    ping.ping.emplace();
    ping.ping->sent_at_ms = now.count();
    for (auto const& [key, link] : m_links) {
        if (now - link->sent_at() >= keep_alive_with(link->peer()).ping_after)
            link->send(ping);
    }
}

void LinkHub::drop_silent_links(Core::Time now)
{
    std::vector<std::pair<LinkKey, Core::Duration>> silent;
    for (auto const& [key, link] : m_links) {
        auto const silent_for = now - link->heard_at();
        if (silent_for >= keep_alive_with(link->peer()).silence)
            silent.emplace_back(key, silent_for);
    }
    for (auto const& [key, silent_for] : silent)
        drop_silent(key, silent_for);
}

void LinkHub::drop_silent(LinkKey const& key, Core::Duration silent_for)
{
    if (!m_links.contains(key))
        return;
    m_callbacks.silent(key.first, silent_for);
    reset_link(key);
}

void LinkHub::drop_all()
{
    std::vector<LinkKey> keys;
    for (auto const& [key, link] : m_links)
        keys.push_back(key);
    for (auto const& key : keys)
        reset_link(key);
}

void LinkHub::reset_link(LinkKey const& key)
{
    auto const found = m_links.find(key);
    if (found == m_links.end())
        return;
    auto const link = found->second;
    link->reset();
    auto const wanted_identity = key.second == Direction::Dialled ? key.first : std::string();
    on_closed(key.second, wanted_identity, *link, Core::ErrorCode::ConnectFailed);
    // A new connection may work at once.
    if (auto const dial = m_dials.find(wanted_identity); dial != m_dials.end() && !dial->second.link)
        dial->second.not_before = Core::Time(0);
    dial_due();
}

void LinkHub::drop(std::string const& identity)
{
    for (auto direction : { Direction::Dialled, Direction::Accepted }) {
        auto found = m_links.find({ identity, direction });
        if (found == m_links.end())
            continue;
        auto link = found->second;
        link->close();
        on_closed(direction, direction == Direction::Dialled ? identity : std::string(), *link, Core::ErrorCode::ConnectFailed);
    }
}

bool LinkHub::is_up(std::string const& identity) const
{
    return peer(identity) != nullptr;
}

bool LinkHub::has_accepted(Schema::Role role) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&](auto const& entry) {
        return entry.first.second == Direction::Accepted && entry.second->peer().role == role;
    });
}

Schema::Hello const* LinkHub::peer(std::string const& identity) const
{
    for (auto direction : { Direction::Dialled, Direction::Accepted }) {
        auto found = m_links.find({ identity, direction });
        if (found != m_links.end())
            return &found->second->peer();
    }
    return nullptr;
}

bool LinkHub::has_unsent() const
{
    return std::any_of(m_links.begin(), m_links.end(), [](auto const& entry) { return entry.second->pending_bytes() > 0; });
}

std::vector<std::string> LinkHub::peers(Schema::Role role) const
{
    std::set<std::string> identities;
    for (auto const& [key, link] : m_links) {
        if (link->peer().role == role)
            identities.insert(key.first);
    }
    return { identities.begin(), identities.end() };
}

}
