// SPDX-License-Identifier: BSD-2-Clause
#include "LoopTest.h"
#include <LibTransport/LinkHub.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <thread>

using namespace Transport;

/// Carries links to a port, until those of now fall silent for good: no byte, no end and no reset gets through.
class SilencingRelay {
public:
    SilencingRelay(Core::EventLoop& loop, uint16_t target)
        : m_loop(loop)
        , m_target(target)
        , m_listener(LinkListener::create(loop, "127.0.0.1", 0, [this](int socket) { on_socket(socket); }).value())
    {
    }

    ~SilencingRelay()
    {
        for (auto const& carried : m_carried) {
            bufferevent_free(carried->near);
            bufferevent_free(carried->far);
        }
    }

    SilencingRelay(SilencingRelay const&) = delete;
    SilencingRelay& operator=(SilencingRelay const&) = delete;

    uint16_t port() const { return m_listener->port(); }
    size_t connections() const { return m_carried.size(); }

    void silence_open()
    {
        for (auto const& carried : m_carried)
            silence(*carried);
    }

    /// New connections stand, and carry nothing.
    void set_carries_new(bool carries) { m_carries_new = carries; }

private:
    struct Carried {
        bufferevent* near { nullptr };
        bufferevent* far { nullptr };
    };

    static void silence(Carried const& carried)
    {
        for (auto* end : { carried.near, carried.far }) {
            bufferevent_disable(end, EV_READ | EV_WRITE);
            bufferevent_setcb(end, nullptr, nullptr, nullptr, nullptr);
        }
    }

    static void pass_on(bufferevent* from, void* argument)
    {
        auto* carried = static_cast<Carried*>(argument);
        bufferevent_write_buffer(from == carried->near ? carried->far : carried->near, bufferevent_get_input(from));
    }

    static void on_event(bufferevent* from, short events, void* argument)
    {
        auto* carried = static_cast<Carried*>(argument);
        if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            shutdown(bufferevent_getfd(from == carried->near ? carried->far : carried->near), SHUT_RDWR);
    }

    void on_socket(int socket)
    {
        auto carried = std::make_unique<Carried>();
        carried->near = bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        carried->far = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        for (auto* end : { carried->near, carried->far }) {
            bufferevent_setcb(end, pass_on, nullptr, on_event, carried.get());
            bufferevent_enable(end, EV_READ | EV_WRITE);
        }
        auto target = socket_address("127.0.0.1", m_target);
        bufferevent_socket_connect(carried->far, reinterpret_cast<sockaddr const*>(&target), sizeof(target));
        if (!m_carries_new)
            silence(*carried);
        m_carried.push_back(std::move(carried));
    }

    Core::EventLoop& m_loop;
    uint16_t m_target;
    std::vector<std::unique_ptr<Carried>> m_carried;
    bool m_carries_new { true };
    std::unique_ptr<LinkListener> m_listener;
};

/// One end, and what it was told.
struct HubEnd {
    HubEnd(Core::EventLoop& loop, std::string const& id)
    {
        LinkOptions options;
        options.identity = { id, Schema::Role::Agent, 1 };
        options.keys = { "k" };
        options.offset = [] { return int64_t { 0 }; };
        options.list_version = [] { return int64_t { 0 }; };
        options.keep_alive = LinkKeepAlive { .ping_after = Core::Duration(100), .silence = Core::Duration(600) };
        hub = std::make_unique<LinkHub>(loop, options,
            LinkHub::Callbacks { .up = [this](Schema::Hello const&) { ups += 1; },
                .message = [this](Schema::Hello const&, Schema::Message const& message) {
                    if (message.pieces)
                        heard.push_back(message.pieces->version); },
                .down = [this](std::string const&) { downs += 1; },
                .failed = [this](Core::ErrorCode) { failures += 1; },
                .silent = [this](std::string const&, Core::Duration silent_for) { silences.push_back(silent_for); } });
        port = hub->listen("127.0.0.1", 0).value();
    }

    void dial(std::string const& peer, uint16_t peer_port) { hub->set_wanted({ { peer, { "127.0.0.1", peer_port } } }); }

    bool tell(std::string const& peer, int64_t version)
    {
        Schema::Message message;
        message.pieces.emplace();
        message.pieces->model = "m";
        message.pieces->version = version;
        return hub->send(peer, message);
    }

    size_t ups { 0 };
    size_t downs { 0 };
    size_t failures { 0 };
    std::vector<Core::Duration> silences;
    std::vector<int64_t> heard;
    uint16_t port { 0 };
    std::unique_ptr<LinkHub> hub;
};

class LinkHubTest : public LoopTest {
protected:
    void run_for(Core::Duration duration)
    {
        bool is_over = false;
        auto const timer = m_loop.after(duration, [&] { is_over = true; });
        run_until([&] { return is_over; });
    }

    HubEnd m_a { m_loop, "a" };
    HubEnd m_b { m_loop, "b" };
};

TEST_F(LinkHubTest, LinksThatHaveNothingToSayStayUp)
{
    m_a.dial("b", m_b.port);
    run_until([&] { return m_a.ups == 1 && m_b.ups == 1; });
    run_for(Core::Duration(1500));
    EXPECT_TRUE(m_a.silences.empty());
    EXPECT_TRUE(m_b.silences.empty());
    EXPECT_EQ(m_a.ups, 1u);
    EXPECT_EQ(m_b.ups, 1u);
}

TEST_F(LinkHubTest, ASilentLinkIsFoundByBothSidesAndANewOneIsMade)
{
    SilencingRelay relay(m_loop, m_b.port);
    m_a.dial("b", relay.port());
    run_until([&] { return m_a.ups == 1 && m_b.ups == 1; });
    relay.silence_open();
    EXPECT_TRUE(m_a.tell("b", 1));
    run_until([&] { return m_a.ups == 2 && m_b.ups == 2; });
    EXPECT_EQ(m_a.silences.size(), 1u);
    EXPECT_TRUE(m_a.tell("b", 2));
    EXPECT_TRUE(m_b.tell("a", 3));
    run_until([&] { return !m_a.heard.empty() && !m_b.heard.empty(); });
    EXPECT_EQ(m_b.heard, std::vector<int64_t> { 2 });
    EXPECT_EQ(m_a.heard, std::vector<int64_t> { 3 });
}

TEST_F(LinkHubTest, LinksThatAreDroppedTakeWhatTheyHeldWithThemAndAreMadeAnewAtOnce)
{
    m_a.dial("b", m_b.port);
    run_until([&] { return m_a.ups == 1 && m_b.ups == 1; });
    EXPECT_TRUE(m_b.tell("a", 1));
    m_a.hub->drop_all();
    EXPECT_EQ(m_a.downs, 1u);
    EXPECT_FALSE(m_a.hub->is_up("b"));
    run_until([&] { return m_a.ups == 2 && m_b.ups == 2; });
    EXPECT_TRUE(m_b.tell("a", 2));
    run_until([&] { return !m_a.heard.empty(); });
    EXPECT_EQ(m_a.heard, std::vector<int64_t> { 2 });
}

TEST_F(LinkHubTest, ADeadLinkDoesNotHideALiveOneOfTheOtherDirection)
{
    SilencingRelay relay(m_loop, m_b.port);
    m_a.dial("b", relay.port());
    m_b.dial("a", m_a.port);
    run_until([&] { return m_a.ups == 2 && m_b.ups == 2; });
    relay.set_carries_new(false);
    relay.silence_open();
    EXPECT_TRUE(m_a.tell("b", 1));
    // Both hear that what they sent since may be lost.
    run_until([&] { return m_a.ups == 3 && m_b.ups == 3; });
    EXPECT_EQ(m_a.downs, 0u);
    EXPECT_EQ(m_b.downs, 0u);
    EXPECT_TRUE(m_a.tell("b", 2));
    run_until([&] { return !m_b.heard.empty(); });
    EXPECT_EQ(m_b.heard, std::vector<int64_t> { 2 });
}

TEST_F(LinkHubTest, ADialThatHangsIsGivenUpAndMadeAgain)
{
    SilencingRelay relay(m_loop, m_b.port);
    relay.set_carries_new(false);
    m_a.dial("b", relay.port());
    run_until([&] { return relay.connections() == 1; });
    relay.set_carries_new(true);
    run_until([&] { return m_a.ups == 1 && m_b.ups == 1; });
    EXPECT_EQ(m_a.failures, 1u);
}

TEST_F(LinkHubTest, AProcessThatStoodStillTakesNoLinkForSilent)
{
    m_a.dial("b", m_b.port);
    run_until([&] { return m_a.ups == 1 && m_b.ups == 1; });
    std::this_thread::sleep_for(Core::Duration(1500));
    run_for(Core::Duration(800));
    EXPECT_TRUE(m_a.silences.empty());
    EXPECT_TRUE(m_b.silences.empty());
    EXPECT_EQ(m_a.ups, 1u);
}
