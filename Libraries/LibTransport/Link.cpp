// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/Link.h>

#include <LibCore/Hash.h>
#include <LibTransport/MessageCodec.h>
#include <LibTransport/SocketAddress.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

namespace Transport {

static constexpr size_t max_message_bytes = 32 * 1024 * 1024;
// What a peer may send before it has proved its key: the upgrade of the connection, its challenge and its hello, with what follows in one read.
static constexpr size_t max_handshake_bytes = 64 * 1024;
// A peer that does not read is cut off before it costs the process its memory.
static constexpr size_t max_pending_bytes = 64 * 1024 * 1024;
// A peer that dials may be slow; what it costs meanwhile is one socket.
static constexpr Core::Duration accepted_handshake_limit { 5000 };
// The kernel answers even for a process that stands still, so only the network can take this long.
static constexpr Core::Duration connect_limit { 1000 };
static constexpr size_t nonce_bytes = 16;

Link::Link(Core::EventLoop& loop, LinkOptions const& options, Handshake::Side side, Callbacks callbacks)
    : m_loop(loop)
    , m_options(options)
    , m_callbacks(std::move(callbacks))
    , m_handshake(side, options.identity, options.keys, Core::random_hex(nonce_bytes))
    , m_codec(side == Handshake::Side::Dialer ? WebSocketCodec::Side::Client : WebSocketCodec::Side::Server, max_message_bytes,
          { .output = [this](std::string_view bytes) {
               if (!m_stream)
                   return;
               m_options.traffic->sent += bytes.size();
               bufferevent_write(m_stream, bytes.data(), bytes.size()); },
              .opened = [this] { begin(); },
              .message = [this](std::string_view payload) { on_payload(payload); },
              .closed = [this] { fail(Core::ErrorCode::MalformedMessage); } })
    , m_heard_at(Core::monotonic_now())
    , m_sent_at(m_heard_at)
{
}

Link::~Link()
{
    close();
}

std::shared_ptr<Link> Link::dial(Core::EventLoop& loop, LinkOptions const& options, std::string const& address, uint16_t port, Core::Duration handshake_limit, Callbacks callbacks)
{
    std::shared_ptr<Link> link(new Link(loop, options, Handshake::Side::Dialer, std::move(callbacks)));
    link->attach(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE), handshake_limit);
    link->m_connect_timer = loop.after(connect_limit, [raw = link.get()] { raw->fail(Core::ErrorCode::ConnectFailed); });
    auto target = socket_address(address, port);
    if (bufferevent_socket_connect(link->m_stream, reinterpret_cast<sockaddr const*>(&target), sizeof(target)) != 0)
        link->fail(Core::ErrorCode::ConnectFailed);
    return link;
}

std::shared_ptr<Link> Link::accept(Core::EventLoop& loop, LinkOptions const& options, int socket, Callbacks callbacks)
{
    std::shared_ptr<Link> link(new Link(loop, options, Handshake::Side::Listener, std::move(callbacks)));
    link->attach(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE), accepted_handshake_limit);
    link->m_codec.start();
    return link;
}

void Link::attach(bufferevent* stream, Core::Duration handshake_limit)
{
    m_stream = stream;
    auto on_read = [](bufferevent*, void* self) { static_cast<Link*>(self)->on_bytes(); };
    auto on_event = [](bufferevent* stream, short events, void* argument) {
        auto* self = static_cast<Link*>(argument);
        if (events & BEV_EVENT_CONNECTED) {
            self->m_connect_timer.reset();
            int const on = 1;
            setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            self->m_codec.start();
            return;
        }
        if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
            self->fail(Core::ErrorCode::ConnectFailed);
    };
    bufferevent_setcb(stream, on_read, nullptr, on_event, this);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    m_handshake_timer = m_loop.after(handshake_limit, [this] { fail(Core::ErrorCode::ConnectFailed); });
}

void Link::begin()
{
    Schema::Message message;
    message.challenge = m_handshake.challenge();
    m_codec.send(encode_message(message));
}

void Link::on_bytes()
{
    // A callback may drop the last owner of this link.
    auto keep = shared_from_this();
    m_heard_at = Core::monotonic_now();
    auto* input = bufferevent_get_input(m_stream);
    while (!m_is_over && evbuffer_get_length(input) > 0) {
        auto size = evbuffer_get_contiguous_space(input);
        std::string bytes(size, '\0');
        evbuffer_remove(input, bytes.data(), size);
        m_options.traffic->received += size;
        if (!m_is_ready && (m_handshake_bytes += size) > max_handshake_bytes) {
            fail(Core::ErrorCode::BadCredentials);
            return;
        }
        m_codec.receive(bytes);
    }
}

void Link::on_payload(std::string_view payload)
{
    if (m_is_over)
        return;
    std::string unknown;
    auto message = decode_message(payload, unknown);
    if (!message.has_value()) {
        fail(message.error().code);
        return;
    }
    if (!unknown.empty())
        m_options.traffic->unknown_members += 1;
    if (!m_is_ready) {
        on_handshake(*message);
        return;
    }
    m_callbacks.message(*this, *message);
}

void Link::on_handshake(Schema::Message const& message)
{
    if (message.challenge) {
        auto hello = m_handshake.on_challenge(*message.challenge, m_options.offset(), m_options.list_version());
        if (!hello.has_value()) {
            fail(hello.error().code);
            return;
        }
        Schema::Message answer;
        answer.hello = *hello;
        m_codec.send(encode_message(answer));
        return;
    }
    if (!message.hello) {
        fail(Core::ErrorCode::BadCredentials);
        return;
    }
    auto proved = m_handshake.on_hello(*message.hello);
    if (!proved.has_value()) {
        fail(proved.error().code);
        return;
    }
    m_handshake_timer.reset();
    m_peer = *message.hello;
    m_is_ready = true;
    m_callbacks.ready(*this, m_peer);
}

bool Link::send(Schema::Message const& message)
{
    if (m_is_over || !m_is_ready)
        return false;
    if (pending_bytes() > max_pending_bytes) {
        fail(Core::ErrorCode::ConnectFailed);
        return false;
    }
    m_sent_at = Core::monotonic_now();
    return m_codec.send(encode_message(message));
}

void Link::fail(Core::ErrorCode code)
{
    if (m_is_over)
        return;
    m_is_over = true;
    m_is_ready = false;
    m_handshake_timer.reset();
    m_connect_timer.reset();
    // The stream may be in the middle of its own callback, so it ends in the loop's next turn.
    m_loop.soon([weak = weak_from_this(), code] {
        if (auto self = weak.lock()) {
            self->finish_failing();
            self->m_callbacks.closed(*self, code);
        }
    });
}

void Link::finish_failing()
{
    if (m_stream)
        bufferevent_free(m_stream);
    m_stream = nullptr;
}

void Link::close()
{
    m_is_over = true;
    m_is_ready = false;
    m_handshake_timer.reset();
    m_connect_timer.reset();
    finish_failing();
}

void Link::reset()
{
    if (m_stream) {
        linger hard { .l_onoff = 1, .l_linger = 0 };
        setsockopt(bufferevent_getfd(m_stream), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    }
    close();
}

size_t Link::pending_bytes() const
{
    return m_stream ? evbuffer_get_length(bufferevent_get_output(m_stream)) : 0;
}

Core::ErrorOr<std::unique_ptr<LinkListener>> LinkListener::create(Core::EventLoop& loop, std::string const& address, uint16_t port, std::function<void(int)> on_socket)
{
    std::unique_ptr<LinkListener> listener(new LinkListener);
    listener->m_on_socket = std::move(on_socket);
    auto target = socket_address(address, port);
    auto accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        int const on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        static_cast<LinkListener*>(self)->m_on_socket(socket);
    };
    listener->m_listener = evconnlistener_new_bind(loop.base(), accepted, listener.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr const*>(&target), sizeof(target));
    if (!listener->m_listener)
        return Core::failure(Core::ErrorCode::AddressInUse, address + ":" + std::to_string(port));
    return listener;
}

LinkListener::~LinkListener()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

uint16_t LinkListener::port() const
{
    return local_port(evconnlistener_get_fd(m_listener));
}

}
