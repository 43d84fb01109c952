// SPDX-License-Identifier: BSD-2-Clause
#include "../../platform/HttpRequestHeads.h"
#include "../../platform/Records.h"
#include <gtest/gtest.h>

using namespace PlatformAdapter;

static Transport::MessageHead caller_head()
{
    Transport::MessageHead head;
    head.method = "POST";
    head.target = "/lepu270/2f?x=1";
    head.headers = { { "Host", "jepu9.example:80" }, { "X-Request-Id", "r1" }, { "x-deadline-ms", "6000" }, { "Authorization", "Bearer secret" }, { "X-Tenant", "forged" }, { "X-Expect-Instance", "forged" }, { "X-Expect-Version", "9" }, { "X-Request-Urgency", "0" }, { "Path", "1.2.3.4:5=0-16" }, { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-Token-Counts", "1460,80" }, { "X-Model", "m" }, { "Transfer-Encoding", "chunked" } };
    head.is_chunked = true;
    return head;
}

TEST(RequestHeads, TheCallersHeadIsRead)
{
    auto const caller = HttpRequestHeads().read_caller(caller_head());
    EXPECT_EQ(caller.request_id, "r1");
    EXPECT_EQ(caller.host, "jepu9.example");
    EXPECT_EQ(caller.path, "/lepu270/2f");
    EXPECT_EQ(caller.deadline, Core::Duration(6000));
    EXPECT_EQ(caller.key, "secret");
    EXPECT_EQ(caller.prompt_tokens, 1460);
    EXPECT_EQ(caller.answer_tokens, 80);
}

TEST(RequestHeads, ThePartsOfAPromptThatOthersMayShareAreRead)
{
    using Parts = std::vector<std::string>;
    std::vector<std::pair<std::string, Parts>> const cases {
        { "5c1e07a2:800,91bd3f06:410,e4402b7d:250", { "5c1e07a2", "91bd3f06" } },
        { "a:1, b :2 ,a:3,own:4", { "a", "b" } },
        { "own:4", {} },
        { "", {} },
        { ",:5,a,own", { "a" } },
    };
    for (auto const& [text, parts] : cases) {
        auto head = caller_head();
        head.headers.emplace_back("x-prompt-prefix", text);
        EXPECT_EQ(HttpRequestHeads().read_caller(head).shared_prompt_parts, parts) << text;
    }
    EXPECT_EQ(HttpRequestHeads().read_caller(caller_head()).shared_prompt_parts, Parts {});
}

TEST(RequestHeads, TheSystemsHeadersAreOverwrittenAndTheKeyIsRemoved)
{
    Platform::BackendRequestFields terms;
    terms.server_id = "i-1";
    terms.customer = "bozi";
    terms.remaining = Core::Duration(1234);
    auto const request = HttpRequestHeads().write_request(caller_head(), "body", terms);
    EXPECT_TRUE(request.starts_with("POST /lepu270/2f?x=1 HTTP/1.1\r\n"));
    EXPECT_TRUE(request.ends_with("\r\n\r\nbody"));
    for (auto const* gone : { "secret", "forged", "X-Hop", "keep-alive", "1.2.3.4", "chunked", "6000", "X-Request-Urgency", "X-Expect-Version" })
        EXPECT_EQ(request.find(gone), std::string::npos) << gone;
    for (auto const* there : { "X-Request-Id: r1\r\n", "X-Deadline-Ms: 1234\r\n", "X-Expect-Instance: i-1\r\n", "X-Tenant: bozi\r\n", "X-Model: m\r\n", "Content-Length: 4\r\n", "Host: jepu9.example:80\r\n" })
        EXPECT_NE(request.find(there), std::string::npos) << there;
}

TEST(RequestHeads, AnAnswersHeadIsForwardedWithoutHopByHopHeaders)
{
    Transport::MessageHead head;
    head.status = 200;
    head.headers = { { "X-Request-Id", "r1" }, { "X-Response-Seal", "seal" }, { "Connection", "close" }, { "Content-Length", "4" }, { "X-Weight-Versions", "3" } };
    auto const answer = HttpRequestHeads().read_backend(head);
    EXPECT_TRUE(answer.is_genuine);
    EXPECT_FALSE(answer.is_not_run);
    EXPECT_EQ(answer.version, 3);
    EXPECT_EQ(answer.headers, (Transport::HttpHeaders { { "X-Request-Id", "r1" }, { "X-Response-Seal", "seal" }, { "X-Weight-Versions", "3" } }));
}

TEST(RequestHeads, OnlyTheServersStatementMeansThatTheRequestDidNotRun)
{
    Transport::MessageHead head;
    head.status = 503;
    EXPECT_FALSE(HttpRequestHeads().read_backend(head).is_not_run);
    head.headers = { { "X-Not-Executed", "1" }, { "Retry-After", "0.25" } };
    auto const answer = HttpRequestHeads().read_backend(head);
    EXPECT_TRUE(answer.is_not_run);
    EXPECT_EQ(answer.retry_after, Core::Duration(250));
    Transport::MessageHead misdirected;
    misdirected.status = 421;
    EXPECT_TRUE(HttpRequestHeads().read_backend(misdirected).is_not_run);
}

TEST(RequestHeads, TheServersLimitIsADecimalNumberOfRequestsPerSecond)
{
    auto const read = [](std::string const& text) {
        Transport::MessageHead head;
        head.status = 200;
        head.headers = { { "Server-Limit", text } };
        return HttpRequestHeads().read_backend(head);
    };
    EXPECT_EQ(read("1.9").max_requests_per_second, 1.9);
    EXPECT_EQ(read("0").max_requests_per_second, 0);
    EXPECT_EQ(read("12").unreadable_limit, std::nullopt);
    for (auto const* text : { "", "-1", "nan", "inf", "1e300", "99999999999", "1.5x", "0x10", "many" }) {
        EXPECT_EQ(read(text).max_requests_per_second, std::nullopt) << text;
        EXPECT_EQ(read(text).unreadable_limit, text);
    }
    Transport::MessageHead const without_limit;
    EXPECT_EQ(HttpRequestHeads().read_backend(without_limit).unreadable_limit, std::nullopt);
}

TEST(RequestHeads, RetryAfterIsANumberOfSeconds)
{
    auto const read = [](std::string const& text) {
        Transport::MessageHead head;
        head.status = 503;
        head.headers = { { "Retry-After", text } };
        return HttpRequestHeads().read_backend(head);
    };
    EXPECT_EQ(read("3").retry_after, Core::Duration(3000));
    EXPECT_EQ(read("0.25").retry_after, Core::Duration(250));
    EXPECT_EQ(read("0").unreadable_retry_after, std::nullopt);
    for (auto const* text : { "", "-3", "nan", "1e300", "999999", "3x", "Thu, 03 Dec 2026 12:00:00 GMT" }) {
        EXPECT_EQ(read(text).retry_after, std::nullopt) << text;
        EXPECT_EQ(read(text).unreadable_retry_after, text);
    }
}

TEST(RequestHeads, OnlyTheDocumentedValueMeansThatTheServerLeaves)
{
    auto const is_leaving = [](char const* text) {
        Transport::MessageHead head;
        head.headers = { { "Server-Leaving", text } };
        return HttpRequestHeads().read_backend(head).is_leaving;
    };
    EXPECT_TRUE(is_leaving("1"));
    for (auto const* text : { "0", "", "10", "true" })
        EXPECT_FALSE(is_leaving(text)) << text;
    EXPECT_FALSE(HttpRequestHeads().read_backend({}).is_leaving);
}

TEST(RequestHeads, AnEncodedOrUnsealedAnswerIsNotTheServers)
{
    Transport::MessageHead head;
    head.status = 200;
    EXPECT_FALSE(HttpRequestHeads().read_backend(head).is_genuine);
    head.headers = { { "X-Response-Seal", "seal" }, { "Content-Encoding", "gzip" } };
    EXPECT_FALSE(HttpRequestHeads().read_backend(head).is_genuine);
}

TEST(RequestHeads, EventIdsAreRead)
{
    HttpRequestHeads const heads;
    EXPECT_EQ(heads.event_id("id: 12\ndata: x\n\n"), 12);
    EXPECT_EQ(heads.event_id("x-weight-versions: 2\r\nid:7\r\ndata: x\r\n\r\n"), 7);
    EXPECT_EQ(heads.event_id("data: id: 3\n\n"), std::nullopt);
}

static char const* const configuration_body = R"({"Version":7,"Routes":[
    {"Name":"r1","Host":"h","PathPrefix":"/a/","Kind":"stream","TimeoutMs":6000,"TargetLatencyMs":400,"Priority":1,"Service":"s","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"TargetGapMs":300},
    {"Name":"r2","Host":"h","PathPrefix":"/b/","Kind":"unsafe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Split":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],"MaxAttempts":1,"Public":true}],
  "Services":[{"Name":"s","HealthPath":"/health","MaxConns":374,"Engine":{"Slots":16,"Stride":5,"Models":[{"Name":"m"}],"step_ms":8.87,"per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":19100.0,"pairs_per_m":1.5,"usual":{"prompt":977,"answer":94},"layers":16,"Chunks":64,"ChunkBytes":32768}},
    {"Name":"o","Origin":"172.20.0.3:8006","Zone":"z","LinkMbps":9.9,"MaxConns":48}],
  "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,"IdleTimeoutMs":400},
  "Tenants":[{"Name":"c","ApiKeys":["k"],"Priority":1}],"Unknown":{"field":1}})";

TEST(Records, AConfigurationIsDecoded)
{
    auto const configuration = read_configuration(configuration_body, CustomerKeys::Expected);
    ASSERT_TRUE(configuration.has_value()) << configuration.error().detail;
    EXPECT_EQ(configuration->version, 7);
    EXPECT_EQ(configuration->routes[0].kind, Schema::RouteKind::Stream);
    EXPECT_TRUE(configuration->routes[0].is_resumable);
    EXPECT_EQ(configuration->routes[0].objective_gap_ms, 300);
    EXPECT_EQ(configuration->routes[1].kind, Schema::RouteKind::Once);
    EXPECT_EQ(configuration->routes[1].targets.size(), 2u);
    EXPECT_EQ(configuration->services[0].timing->layers, 16);
    EXPECT_EQ(configuration->services[1].origin_address, "172.20.0.3:8006");
    EXPECT_EQ(configuration->customers[0].keys, std::vector<std::string> { "k" });
    EXPECT_EQ(configuration->idle_timeout_ms, 400);
}

TEST(Records, UndecodableRecordsAreTypedErrorsAndNotFacts)
{
    EXPECT_EQ(read_configuration("nonsense", CustomerKeys::NotExpected).error().code, Core::ErrorCode::MalformedJson);
    EXPECT_EQ(read_configuration(R"({"Version":"x","Routes":[],"Services":[]})", CustomerKeys::NotExpected).error().code, Core::ErrorCode::UnreadableField);
    Platform::FactPage page;
    add_record(Configuration::FactTopic::Configuration, CustomerKeys::NotExpected, "config", 3, "{}", page);
    add_record(Configuration::FactTopic::Configuration, CustomerKeys::NotExpected, "another", 4, "{}", page);
    add_record(Configuration::FactTopic::BackendServers, CustomerKeys::NotExpected, "i-1", 5, "[]", page);
    EXPECT_TRUE(page.facts.empty());
    EXPECT_EQ(page.bad.size(), 2u);
}

TEST(Records, AServerIsReadAndAKeyWithoutAValueIsItsRemoval)
{
    Platform::FactPage page;
    add_record(Configuration::FactTopic::BackendServers, CustomerKeys::NotExpected, "i-1", 5, R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":16,"State":"draining","ColdLeftMs":0,"Models":[{"Name":"m","Version":1}],"layers":{"From":0,"TargetVersion":16,"Version":1},"CallSeq":4})", page);
    add_record(Configuration::FactTopic::BackendServers, CustomerKeys::NotExpected, "i-2", 6, "", page);
    ASSERT_EQ(page.facts.size(), 2u);
    auto const& server = std::get<Schema::BackendServer>(page.facts[0].value);
    EXPECT_TRUE(server.is_draining);
    EXPECT_EQ(server.held.at(0).end_layer, 16);
    EXPECT_TRUE(std::holds_alternative<Configuration::Removed>(page.facts[1].value));
}

TEST(Records, AnEnginesReportIsRead)
{
    auto const report = read_report(R"({"Models":[{"Name":"m","Version":1}],"layers":{"From":0,"TargetVersion":16,"Version":1},"Busy":true,"CallSeq":2,"Waiting":1,"Running":12,"pace":1.5})");
    ASSERT_TRUE(report.has_value());
    EXPECT_TRUE(report->is_busy);
    EXPECT_EQ(report->order_sequence, 2);
    EXPECT_EQ(report->running, 12);
    EXPECT_EQ(report->held.at(0).version, 1);
    EXPECT_TRUE(read_report(R"({"Busy":false})")->held.empty());
}

TEST(Records, TheStartOfAnIncarnationIsOptional)
{
    EXPECT_EQ(read_server("i-1", R"({"Service":"s","Address":"10.0.0.9:80","State":"ready","born":1796600000123})")->started_at_ms, 1796600000123);
    EXPECT_EQ(read_report(R"({"Busy":false,"CallSeq":2,"born":1796600000123})")->started_at_ms, 1796600000123);
    auto const older = read_server("i-1", R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":1,"State":"ready"})");
    EXPECT_EQ(older->started_at_ms, std::nullopt);
    EXPECT_TRUE(older->unreadable_fields.empty());
    EXPECT_EQ(read_report(R"({"Busy":false,"CallSeq":2})")->started_at_ms, std::nullopt);
}

TEST(Records, AnUndocumentedStateIsReported)
{
    auto const server = read_server("i-1", R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":1,"State":"resting"})");
    EXPECT_TRUE(server->is_draining);
    EXPECT_EQ(server->unreadable_fields, std::vector<std::string> { "State" });
}
