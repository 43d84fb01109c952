// SPDX-License-Identifier: BSD-2-Clause
#include "../../platform/HttpVersionRecords.h"
#include "StoreListing.h"
#include <LibSchema/Json.h>
#include <LibTransport/HttpServer.h>
#include <gtest/gtest.h>
#include <limits>
#include <optional>
#include <rapidcheck/gtest.h>

// Another writer may have written the stored versions, and the store may return anything else.

using namespace PlatformAdapter;
using Json = nlohmann::json;
using Result = tl::expected<Platform::VersionRecords::Page, Platform::FactLogFault>;

static constexpr int most_calls = 20;

static std::string kept_record(int64_t version)
{
    return Schema::to_text(Schema::KeptVersion { .known_at_ms = 1000, .model = "m", .version = version });
}

/// Reads from a store that answers every call with this body. Returns std::nullopt if the read does not end.
static std::optional<Result> read_from(std::string const& body)
{
    Core::EventLoop loop;
    int calls = 0;
    auto server = Transport::HttpServer::create(loop, "127.0.0.1", 0, {}, [&](auto const& exchange) {
        exchange->reply(200, {}, body);
        if (++calls > most_calls)
            loop.stop();
    });
    HttpVersionRecords records(loop, "127.0.0.1:" + std::to_string((*server)->port()));
    std::optional<Result> result;
    records.read({ .wait = Core::Duration(0), .answer = Core::Duration(10000) }, [&](auto const& page) {
        result = page;
        loop.stop();
    });
    loop.run();
    return result;
}

TEST(VersionRecords, AnInvalidRecordIsBadAndTheOthersAreRead)
{
    auto const earliest = std::numeric_limits<int64_t>::min();
    std::vector<std::string> const odd {
        "{}",
        "\xff",
        R"({"known_at_ms":1000,"model":"m","version":"2"})",
        R"({"known_at_ms":)" + std::to_string(earliest) + R"(,"model":"m","version":2})",
        R"({"known_at_ms":-1,"model":"m","version":2})",
        R"({"known_at_ms":1000,"model":"m","version":0})",
        R"({"known_at_ms":1000,"model":"","version":2})",
    };
    for (auto const& record : odd) {
        auto const read = read_from(as_bytes(listing({ item("m/1", kept_record(1), 1), item("m/2", record, 2), item("m/3", kept_record(3), 3) })));
        ASSERT_TRUE(read.has_value() && read->has_value()) << record;
        ASSERT_EQ((*read)->versions.size(), 2u) << record;
        EXPECT_EQ((*read)->versions[1].version, 3) << record;
        ASSERT_EQ((*read)->bad.size(), 1u) << record;
        EXPECT_EQ((*read)->bad[0].key, "m/2") << record;
    }
}

RC_GTEST_PROP(VersionRecords, AForeignRecordDoesNotAffectOthers, ())
{
    auto const bytes = foreign(Json::parse(kept_record(2)));
    auto const read = read_from(as_bytes(listing({ item("m/1", kept_record(1), 1), item("m/2", bytes, 2), item("m/3", kept_record(3), 3) })));
    RC_ASSERT(read.has_value() && read->has_value());
    auto const& versions = (*read)->versions;
    RC_ASSERT(versions.size() + (*read)->bad.size() == 3u);
    RC_ASSERT(versions.front().version == 1);
    RC_ASSERT(versions.back().version == 3);
    for (auto const& each : versions)
        RC_ASSERT(each.known_at_ms >= 0 && each.version > 0 && !each.model.empty());
}

RC_GTEST_PROP(VersionRecords, AReadEndsWhateverTheStoreAnswers, ())
{
    auto body = listing({ item("m/1", kept_record(1), 1), item("m/2", kept_record(2), 2) });
    body["more"] = *rc::gen::arbitrary<bool>();
    auto const read = read_from(foreign(body));
    RC_ASSERT(read.has_value());
    if (!read->has_value())
        return;
    for (auto const& each : (*read)->versions)
        RC_ASSERT(each.known_at_ms >= 0 && each.version > 0 && !each.model.empty());
}
