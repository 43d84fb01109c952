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

struct BadHead {
    char const* name;
    char const* bytes;
};

class AmbiguousFraming : public testing::TestWithParam<BadHead> { };

TEST_P(AmbiguousFraming, IsRefused)
{
    auto const reading = read_requests(GetParam().bytes);
    EXPECT_EQ(reading.fault, MessageFault::Malformed);
    EXPECT_EQ(reading.whole, 0u);
}

INSTANTIATE_TEST_SUITE_P(Heads, AmbiguousFraming,
    testing::Values(
        BadHead { "two_lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" },
        BadHead { "the_same_length_twice", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc" },
        BadHead { "length_and_chunks", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
        BadHead { "other_encoding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" },
        BadHead { "bare_line_feed", "POST / HTTP/1.1\nHost: x\r\nContent-Length: 0\r\n\r\n" },
        BadHead { "only_bare_line_feeds", "POST / HTTP/1.1\nHost: x\n\n" },
        BadHead { "folded", "POST / HTTP/1.1\r\nHost: x\r\n folded\r\nContent-Length: 0\r\n\r\n" },
        BadHead { "blank_before_colon", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc" },
        BadHead { "no_colon", "POST / HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n" },
        BadHead { "length_no_number", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3a\r\n\r\nabc" },
        BadHead { "no_method", "\x01\x02 / HTTP/1.1\r\nHost: x\r\n\r\n" }),
    [](auto const& info) { return info.param.name; });

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
