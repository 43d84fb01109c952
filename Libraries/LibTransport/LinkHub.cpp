// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/LinkHub.h>

#include <algorithm>

namespace Transport {

static constexpr Core::Duration dial_interval { 50 };
static constexpr Core::Duration first_backoff { 100 };
static constexpr Core::Duration longest_backoff { 2000 };

LinkHub::LinkHub(Core::EventLoop& loop, LinkOptions options, Callbacks callbacks)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_dial_timer(loop.every(dial_interval, [this] { dial_due(); }))
{
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
        dial->second.backoff = Core::Duration(0);
    m_callbacks.up(hello);
}

void LinkHub::forget(LinkKey const& key, Link const& link)
{
    auto found = m_links.find(key);
    if (found == m_links.end() || found->second.get() != &link)
        return;
    m_links.erase(found);
    if (!is_up(key.first))
        m_callbacks.down(key.first);
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
        if (!dial.link && now >= dial.not_before)
            dial.link = Link::dial(m_loop, m_options, dial.target.address, dial.target.port, callbacks(Direction::Dialled, identity));
    }
}

bool LinkHub::send(std::string const& identity, Schema::Message const& message)
{
    for (auto direction : { Direction::Dialled, Direction::Accepted }) {
        auto found = m_links.find({ identity, direction });
        if (found != m_links.end())
            return found->second->send(message);
    }
    return false;
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

Schema::Hello const* LinkHub::peer(std::string const& identity) const
{
    for (auto direction : { Direction::Dialled, Direction::Accepted }) {
        auto found = m_links.find({ identity, direction });
        if (found != m_links.end())
            return &found->second->peer();
    }
    return nullptr;
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
