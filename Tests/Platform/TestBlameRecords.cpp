// SPDX-License-Identifier: BSD-2-Clause
#include "../../platform/HttpBlameRecords.h"
#include "StoreListing.h"
#include <LibSchema/Json.h>
#include <LibTransport/HttpServer.h>
#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>

// What is kept of blamed requests may come from another writer too.

using namespace PlatformAdapter;
using Json = nlohmann::json;
using Result = tl::expected<Platform::BlameRecords::Page, Platform::FactLogFault>;

static std::string kept_record(std::string const& digest)
{
    return Schema::to_text(Schema::KeptBlame { .blamed_at_ms = 1000, .digest = digest, .servers = { "s@1" }, .times_blamed = 1 });
}

static Result read_from(std::string const& body)
{
    Core::EventLoop loop;
    auto server = Transport::HttpServer::create(loop, "127.0.0.1", 0, {}, [&](auto const& exchange) { exchange->reply(200, {}, body); });
    HttpBlameRecords records(loop, "127.0.0.1:" + std::to_string((*server)->port()));
    std::optional<Result> result;
    records.read({ .wait = Core::Duration(0), .answer = Core::Duration(10000) }, [&](auto const& page) {
        result = page;
        loop.stop();
    });
    loop.run();
    return *result;
}

TEST(BlameRecords, ARecordThatIsNoBlameIsBadAndTheOthersAreRead)
{
    std::vector<std::string> const odd {
        "{}",
        "\xff",
        kept_record("of another"),
        R"({"blamed_at_ms":-1,"digest":"b","servers":[],"times_blamed":1})",
        R"({"blamed_at_ms":1000,"digest":"b","servers":[],"times_blamed":0})",
        R"({"blamed_at_ms":1000,"digest":"b","servers":"s","times_blamed":1})",
    };
    for (auto const& record : odd) {
        auto const read = read_from(as_bytes(listing({ item("a", kept_record("a"), 1), item("b", record, 2), item("c", kept_record("c"), 3) })));
        ASSERT_TRUE(read.has_value()) << record;
        ASSERT_EQ(read->blames.size(), 2u) << record;
        ASSERT_EQ(read->bad.size(), 1u) << record;
        EXPECT_EQ(read->bad[0].key, "b") << record;
    }
}

RC_GTEST_PROP(BlameRecords, AForeignRecordCostsNoOther, ())
{
    auto const bytes = foreign(Json::parse(kept_record("b")));
    auto const read = read_from(as_bytes(listing({ item("a", kept_record("a"), 1), item("b", bytes, 2), item("c", kept_record("c"), 3) })));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->blames.size() + read->bad.size() == 3u);
    RC_ASSERT(read->blames.front().digest == "a");
    RC_ASSERT(read->blames.back().digest == "c");
}
