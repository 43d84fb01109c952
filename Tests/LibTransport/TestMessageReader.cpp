// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/MessageReader.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Transport;

/// What a reader made of some bytes.
struct Reading {
    std::vector<std::string> targets;
    std::string body;
    size_t whole { 0 };
    std::optional<MessageFault> fault;
};

static Reading read_requests(std::string const& bytes, std::vector<size_t> const& cuts = {}, size_t max_head = 1024)
{
    Reading reading;
    MessageReader reader(MessageReader::Kind::Request, max_head,
        { .head = [&](MessageHead const& head) { reading.targets.push_back(head.method + " " + head.target); },
            .data = [&](std::string_view data) { reading.body += data; },
            .done = [&] { reading.whole += 1; } });
    size_t begin = 0;
    auto feed = [&](std::string_view part) {
        auto fed = reader.feed(part);
        // The owner goes on once it has answered.
        for (size_t before = reading.whole - 1; fed.has_value() && reading.whole != before;) {
            before = reading.whole;
            fed = reader.resume();
        }
        if (!fed.has_value())
            reading.fault = fed.error();
        return fed.has_value();
    };
    for (auto cut : cuts) {
        auto const end = std::min(bytes.size(), std::max(begin, cut));
        if (!feed(std::string_view(bytes).substr(begin, end - begin)))
            return reading;
        begin = end;
    }
    feed(std::string_view(bytes).substr(begin));
    return reading;
}

static Reading read_answer(std::string const& bytes, bool closes_in_order)
{
    Reading reading;
    MessageReader reader(MessageReader::Kind::Answer, 1024,
        { .head = {}, .data = [&](std::string_view data) { reading.body += data; }, .done = [&] { reading.whole += 1; } });
    auto const fed = reader.feed(bytes);
    if (!fed.has_value())
        reading.fault = fed.error();
    else if (closes_in_order)
        reader.finish();
    return reading;
}

// Guards against an answer that a crash of its server cut off and that passes for whole, as it has neither a length nor chunks.
TEST(MessageReader, TellsWhetherTheEndOfTheConnectionEndsAnAnswer)
{
    std::vector<std::pair<std::string, BodyEnd>> const cases {
        { "HTTP/1.1 200 OK\r\n\r\n", BodyEnd::EndOfConnection },
        { "HTTP/1.1 500 X\r\nConnection: close\r\n\r\n", BodyEnd::EndOfConnection },
        { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", BodyEnd::Stated },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", BodyEnd::Stated },
        { "HTTP/1.1 204 X\r\n\r\n", BodyEnd::Stated },
        { "HTTP/1.1 304 X\r\n\r\n", BodyEnd::Stated },
    };
    for (auto const& [bytes, expected] : cases) {
        std::optional<BodyEnd> body_end;
        MessageReader reader(MessageReader::Kind::Answer, 1024, { .head = [&](MessageHead const& head) { body_end = head.body_end; }, .data = {}, .done = {} });
        EXPECT_TRUE(reader.feed(bytes).has_value()) << bytes;
        EXPECT_EQ(body_end, expected) << bytes;
    }
}

TEST(MessageReader, ReadsARequestAndItsBody)
{
    auto const reading = read_requests("POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
    EXPECT_EQ(reading.targets, std::vector<std::string> { "POST /a/b?c=d" });
    EXPECT_EQ(reading.body, "abc");
    EXPECT_EQ(reading.whole, 1u);
}

struct BadRequest {
    char const* name;
    MessageFault fault;
    std::string bytes;
};

class MalformedRequest : public testing::TestWithParam<BadRequest> { };

TEST_P(MalformedRequest, IsRefused)
{
    auto const reading = read_requests(GetParam().bytes);
    EXPECT_EQ(reading.fault, GetParam().fault);
    EXPECT_EQ(reading.whole, 0u);
}

static std::string request_with(std::string const& fields, std::string const& body = {})
{
    return "POST / HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n\r\n" + body;
}

static std::string request_with_chunks(std::string const& chunks)
{
    return request_with("Transfer-Encoding: chunked", chunks);
}

using namespace std::string_literals;

INSTANTIATE_TEST_SUITE_P(Heads, MalformedRequest,
    testing::Values(
        BadRequest { "two_lengths", MessageFault::Framing, request_with("Content-Length: 3\r\nContent-Length: 4", "abcd") },
        BadRequest { "the_same_length_twice", MessageFault::Framing, request_with("Content-Length: 3\r\nContent-Length: 3", "abc") },
        BadRequest { "length_and_chunks", MessageFault::Framing, request_with("Content-Length: 3\r\nTransfer-Encoding: chunked", "0\r\n\r\n") },
        BadRequest { "other_encoding", MessageFault::Framing, request_with("Transfer-Encoding: gzip, chunked", "0\r\n\r\n") },
        BadRequest { "chunks_of_http_1_0", MessageFault::Framing, "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
        BadRequest { "bare_line_feed", MessageFault::LineEnd, "POST / HTTP/1.1\nHost: x\r\nContent-Length: 0\r\n\r\n" },
        BadRequest { "only_bare_line_feeds", MessageFault::LineEnd, "POST / HTTP/1.1\nHost: x\n\n" },
        BadRequest { "carriage_return_in_value", MessageFault::LineEnd, request_with("X-Odd: a\rb") },
        BadRequest { "folded", MessageFault::FieldName, "POST / HTTP/1.1\r\nHost: x\r\n folded\r\nContent-Length: 0\r\n\r\n" },
        BadRequest { "folded_with_colon", MessageFault::FieldName, request_with("X-Odd: 1\r\n a: b") },
        BadRequest { "blank_before_colon", MessageFault::FieldName, request_with("Content-Length : 3", "abc") },
        BadRequest { "no_colon", MessageFault::FieldName, request_with("nonsense") },
        BadRequest { "blank_in_name", MessageFault::FieldName, request_with("X Odd: 1") },
        BadRequest { "blank_in_length", MessageFault::FieldName, request_with("Content Length: 3", "abc") },
        BadRequest { "control_byte_in_name", MessageFault::FieldName, request_with("X\x01Odd: 1") },
        BadRequest { "nul_in_name", MessageFault::FieldName, request_with("X\0Odd: 1"s) },
        BadRequest { "eight_bits_in_name", MessageFault::FieldName, request_with("X\xe9: 1") },
        BadRequest { "empty_name", MessageFault::FieldName, request_with(": 1") },
        BadRequest { "nul_in_value", MessageFault::FieldValue, request_with("X-Odd: a\0b"s) },
        BadRequest { "delete_in_value", MessageFault::FieldValue, request_with("X-Odd: \x7f") },
        BadRequest { "length_no_number", MessageFault::Framing, request_with("Content-Length: 3a", "abc") },
        BadRequest { "length_with_sign", MessageFault::Framing, request_with("Content-Length: +3", "abc") },
        BadRequest { "no_method", MessageFault::StartLine, "\x01\x02 / HTTP/1.1\r\nHost: x\r\n\r\n" },
        BadRequest { "tunnel", MessageFault::StartLine, "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n" },
        BadRequest { "no_version", MessageFault::StartLine, "GET /\r\nHost: x\r\n\r\n" },
        BadRequest { "blank_in_target", MessageFault::StartLine, "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n" },
        BadRequest { "control_byte_in_target", MessageFault::StartLine, "GET /a\x01 HTTP/1.1\r\nHost: x\r\n\r\n" },
        BadRequest { "relative_target", MessageFault::StartLine, "GET a?b=http://c HTTP/1.1\r\nHost: x\r\n\r\n" },
        BadRequest { "two_blanks", MessageFault::StartLine, "GET  / HTTP/1.1\r\nHost: x\r\n\r\n" },
        BadRequest { "version_0_9", MessageFault::Version, "GET / HTTP/0.9\r\nHost: x\r\n\r\n" },
        BadRequest { "version_2_0", MessageFault::Version, "GET / HTTP/2.0\r\nHost: x\r\n\r\n" },
        BadRequest { "version_9_9", MessageFault::Version, "GET / HTTP/9.9\r\nHost: x\r\n\r\n" },
        BadRequest { "no_host", MessageFault::Host, "GET / HTTP/1.1\r\n\r\n" },
        BadRequest { "two_hosts", MessageFault::Host, request_with("Host: y") },
        BadRequest { "chunk_size_with_sign", MessageFault::ChunkSize, request_with_chunks("+3\r\nabc\r\n0\r\n\r\n") },
        BadRequest { "chunk_size_with_prefix", MessageFault::ChunkSize, request_with_chunks("0x3\r\nabc\r\n0\r\n\r\n") },
        BadRequest { "chunk_without_end", MessageFault::ChunkEnd, request_with_chunks("3\r\nabcd\r\n0\r\n\r\n") },
        BadRequest { "blank_in_trailer_name", MessageFault::FieldName, request_with_chunks("0\r\nX Odd: 1\r\n\r\n") }),
    [](auto const& info) { return info.param.name; });

TEST(MessageReader, ReadsEveryRequestThatIsAllowed)
{
    std::vector<std::string> const requests {
        "GET / HTTP/1.0\r\n\r\n",
        "\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost:\r\n\r\n",
        "GET / HTTP/1.2\r\nHost: x\r\n\r\n",
        "GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n",
        "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
        request_with("Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nContent-Length: 0"),
        request_with("X-Empty:\r\nX-Bytes: \xe9\xff\r\n!#$%&'*+-.^_`|~: 1"),
        request_with_chunks("00A;a=\"b c\"\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n"),
    };
    for (auto const& request : requests) {
        auto const reading = read_requests(request);
        EXPECT_FALSE(reading.fault) << request << fault_name(reading.fault.value_or(MessageFault::Surplus));
        EXPECT_EQ(reading.whole, 1u) << request;
    }
}

TEST(MessageReader, AHeadThatIsTooLongIsRefusedWhetherItEndsOrNot)
{
    std::string const long_field = "GET / HTTP/1.1\r\nHost: x\r\nField: " + std::string(2000, 'a');
    EXPECT_EQ(read_requests(long_field).fault, MessageFault::HeadTooLarge);
    EXPECT_EQ(read_requests(long_field + "\r\n\r\n").fault, MessageFault::HeadTooLarge);
}

RC_GTEST_PROP(MessageReaderProperty, WhereverTheBytesAreCutTheSameRequestsAreRead, ())
{
    static std::string const bytes = "POST /one HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\n\r\n"
                                     "GET /two HTTP/1.1\r\nHost: x\r\n\r\n"
                                     "POST /three HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nfg";
    auto cuts = *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, bytes.size()));
    std::sort(cuts.begin(), cuts.end());
    auto const reading = read_requests(bytes, cuts);
    RC_ASSERT(!reading.fault);
    RC_ASSERT(reading.whole == 3u);
    RC_ASSERT(reading.body == "abcdefg");
    RC_ASSERT(reading.targets == std::vector<std::string>({ "POST /one", "GET /two", "POST /three" }));
}

TEST(MessageReader, AnAnswerCutShortIsNeverWhole)
{
    EXPECT_EQ(read_answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", true).whole, 0u);
    EXPECT_EQ(read_answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true).whole, 0u);
    EXPECT_EQ(read_answer("HTTP/1.1 200 OK\r\nContent-Le", true).whole, 0u);
}

TEST(MessageReader, AnAnswerWithoutALengthEndsWithAnOrderlyCloseOnly)
{
    EXPECT_EQ(read_answer("HTTP/1.1 200 OK\r\n\r\nabc", true).whole, 1u);
    EXPECT_EQ(read_answer("HTTP/1.1 200 OK\r\n\r\nabc", false).whole, 0u);
}

TEST(MessageReader, BytesBehindAWholeAnswerAreSurplus)
{
    auto const reading = read_answer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n\r\n", false);
    EXPECT_EQ(reading.fault, MessageFault::Surplus);
    EXPECT_EQ(reading.body, "a");
}
