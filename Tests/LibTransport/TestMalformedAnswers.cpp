// SPDX-License-Identifier: BSD-2-Clause
#include "LoopTest.h"
#include "SentAnswers.h"
#include <LibTransport/BackendCall.h>
#include <LibTransport/HttpClient.h>
#include <LibTransport/KeptConnection.h>
#include <LibTransport/Link.h>
#include <optional>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>

using namespace Transport;

namespace {

constexpr Core::Duration silence { 5000 };
constexpr size_t max_head_bytes = 4096;

/// A server that answers whatever comes on a connection with the same bytes.
class SayingServer {
public:
    SayingServer(Core::EventLoop& loop, std::string answer)
        : m_answer(std::move(answer))
        , m_listener(LinkListener::create(loop, "127.0.0.1", 0, [this](int socket) { m_sockets.push_back(socket); }).value())
        , m_timer(loop.every(Core::Duration(1), [this] { serve(); }))
    {
    }

    ~SayingServer()
    {
        for (auto socket : m_sockets)
            close(socket);
    }

    uint16_t port() const { return m_listener->port(); }

private:
    void serve()
    {
        for (auto socket : m_sockets) {
            char buffer[4096];
            if (recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT) <= 0)
                continue;
            send(socket, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
            // What a reader does not end by itself is broken off.
            shutdown(socket, SHUT_WR);
        }
    }

    std::string m_answer;
    std::vector<int> m_sockets;
    std::unique_ptr<LinkListener> m_listener;
    std::unique_ptr<Core::Timer> m_timer;
};

/// What a caller got of an answer.
struct Received {
    int status { 0 };
    std::string body;
    std::optional<bool> is_whole;
};

}

class MalformedAnswersTest : public LoopTest {
protected:
    Received ask_by_backend_call(std::string const& answer)
    {
        SayingServer server(m_loop, answer);
        Received received;
        BackendCallRequest request;
        request.address = "127.0.0.1";
        request.port = server.port();
        request.bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        auto const call = BackendCall::start(m_loop, request,
            { .connected = {},
                .head = [&](MessageHead const& head) { received.status = head.status; },
                .data = [&](std::string_view data) { received.body += data; },
                .done = [&] { received.is_whole = true; },
                .failed = [&](CallFailure) { received.is_whole = false; } });
        run_until([&] { return received.is_whole.has_value(); });
        return received;
    }

    Received ask_by_client(std::string const& answer)
    {
        SayingServer server(m_loop, answer);
        HttpClient client(m_loop);
        Received received;
        HttpCallRequest request;
        request.address = "127.0.0.1";
        request.port = server.port();
        request.timeout = silence;
        client.call(request, [&](auto const& result) { take(received, result); });
        run_until([&] { return received.is_whole.has_value(); });
        return received;
    }

    Received ask_by_kept_connection(std::string const& answer)
    {
        SayingServer server(m_loop, answer);
        KeptConnection kept(m_loop, "127.0.0.1", server.port(), silence);
        Received received;
        kept.get("/", [&](auto const& result) { take(received, result); });
        run_until([&] { return received.is_whole.has_value(); });
        return received;
    }

private:
    static void take(Received& received, tl::expected<HttpAnswer, HttpFailure> const& result)
    {
        received.is_whole = result.has_value();
        if (!result.has_value())
            return;
        received.status = result->status;
        received.body = result->body;
    }
};

static void expect_refused(SentAnswer const& answer, Received const& received)
{
    EXPECT_EQ(received.is_whole, false) << answer.name << ": given as status " << received.status << ", body " << received.body;
}

static void expect_passed(SentAnswer const& answer, Received const& received)
{
    EXPECT_EQ(received.is_whole, true) << answer.name;
    EXPECT_EQ(received.status, 200) << answer.name;
    EXPECT_EQ(received.body, "hello") << answer.name;
}

// Guards against a broken answer of a backend server that is given to a caller of the direct entry.
TEST_F(MalformedAnswersTest, ABackendCallGivesNone)
{
    for (auto const& answer : malformed_answers())
        expect_refused(answer, ask_by_backend_call(answer.bytes));
}

// The same for what agents, the store, the origin, peers and the command line read.
TEST_F(MalformedAnswersTest, AClientGivesNone)
{
    for (auto const& answer : malformed_answers())
        expect_refused(answer, ask_by_client(answer.bytes));
}

// The same for what engines report.
TEST_F(MalformedAnswersTest, AKeptConnectionGivesNone)
{
    for (auto const& answer : malformed_answers())
        expect_refused(answer, ask_by_kept_connection(answer.bytes));
}

TEST_F(MalformedAnswersTest, ABackendCallPassesWhatIsAllowed)
{
    for (auto const& answer : allowed_answers())
        expect_passed(answer, ask_by_backend_call(answer.bytes));
}

TEST_F(MalformedAnswersTest, AClientPassesWhatIsAllowed)
{
    for (auto const& answer : allowed_answers())
        expect_passed(answer, ask_by_client(answer.bytes));
}

TEST_F(MalformedAnswersTest, AKeptConnectionPassesWhatIsAllowed)
{
    for (auto const& answer : allowed_answers())
        expect_passed(answer, ask_by_kept_connection(answer.bytes));
}

namespace {

struct Reading {
    std::vector<int> statuses;
    std::string body;
    bool is_whole { false };
    bool has_fault { false };
};

Reading read_answer(std::string_view bytes, std::vector<size_t> const& cuts)
{
    Reading reading;
    MessageReader reader(MessageReader::Kind::Answer, max_head_bytes,
        { .head = [&](MessageHead const& head) { reading.statuses.push_back(head.status); },
            .data = [&](std::string_view data) { reading.body += data; },
            .done = [&] { reading.is_whole = true; } });
    size_t begin = 0;
    for (auto const cut : cuts) {
        reading.has_fault = reading.has_fault || !reader.feed(bytes.substr(begin, cut - begin)).has_value();
        begin = cut;
    }
    reading.has_fault = reading.has_fault || !reader.feed(bytes.substr(begin)).has_value();
    return reading;
}

std::vector<size_t> any_cuts(std::string const& bytes)
{
    auto cuts = *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, bytes.size()));
    std::sort(cuts.begin(), cuts.end());
    return cuts;
}

}

RC_GTEST_PROP(AnswerReaderProperty, AMalformedAnswerIsAFaultWhereverItIsCut, ())
{
    auto const answers = malformed_answers();
    auto const& answer = answers[*rc::gen::inRange<size_t>(0, answers.size())];
    RC_TAG(std::string(answer.name));
    auto const reading = read_answer(answer.bytes, any_cuts(answer.bytes));
    RC_ASSERT(reading.has_fault);
    RC_ASSERT(!reading.is_whole);
}

RC_GTEST_PROP(AnswerReaderProperty, AnAllowedAnswerIsReadTheSameWhereverItIsCut, ())
{
    auto const answers = allowed_answers();
    auto const& answer = answers[*rc::gen::inRange<size_t>(0, answers.size())];
    auto const reading = read_answer(answer.bytes, any_cuts(answer.bytes));
    RC_ASSERT(!reading.has_fault);
    RC_ASSERT(reading.is_whole);
    RC_ASSERT(reading.statuses == std::vector<int> { 200 });
    RC_ASSERT(reading.body == "hello");
}

// Whatever one byte of an answer turns into, only an answer of the protocol is given.
RC_GTEST_PROP(AnswerReaderProperty, AnAnswerWithAnotherByteIsAFaultOrWellFormed, ())
{
    auto bytes = "HTTP/1.1 200 OK\r\nX-Field: value\r\nContent-Length: 5\r\n\r\nhello"s;
    auto const at = *rc::gen::inRange<size_t>(0, bytes.find("hello"));
    bytes[at] = *rc::gen::arbitrary<char>();
    MessageHead read;
    MessageReader reader(MessageReader::Kind::Answer, max_head_bytes, { .head = [&](MessageHead const& head) { read = head; }, .data = {}, .done = {} });
    auto const fed = reader.feed(bytes);
    if (!fed.has_value() || read.status == 0)
        return;
    RC_ASSERT(read.status >= 200 && read.status <= 599);
    for (auto const& [name, value] : read.headers) {
        for (unsigned char const byte : name)
            RC_ASSERT(byte > ' ' && byte < 0x7f && std::string_view("\"(),/:;<=>?@[\\]{}").find(static_cast<char>(byte)) == std::string_view::npos);
        for (unsigned char const byte : value)
            RC_ASSERT(byte == '\t' || (byte >= ' ' && byte != 0x7f));
    }
}
