// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/JsonNesting.h>
#include <LibSchema/Json.h>
#include <gtest/gtest.h>

static std::string nested(size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

TEST(Json, DepthIsCountedOutsideOfStrings)
{
    EXPECT_FALSE(Core::is_nested_too_deeply(nested(64)));
    EXPECT_TRUE(Core::is_nested_too_deeply(nested(65)));
    EXPECT_FALSE(Core::is_nested_too_deeply('"' + std::string(100, '[') + '"'));
    EXPECT_FALSE(Core::is_nested_too_deeply(R"("\")" + std::string(100, '[') + '"'));
    EXPECT_TRUE(Core::is_nested_too_deeply(R"(["\\",)" + nested(64) + "]"));
    std::string row = "[";
    for (int i = 0; i < 100; ++i)
        row += "{},";
    EXPECT_FALSE(Core::is_nested_too_deeply(row + "{}]"));
}

// Another writer's record, nested so deeply that a function that is recursive over its value overflows the stack.
TEST(Json, ADeeplyNestedMemberIsAnError)
{
    auto const text = R"({"model":"m","version":1,"origin":"o","named_at_ms":1,"other":)" + nested(200000) + "}";
    EXPECT_TRUE(Schema::parse(text).is_discarded());
    auto const record = Schema::from_text_of_any_build<Schema::LogRecord>(text);
    ASSERT_FALSE(record.has_value());
    EXPECT_EQ(record.error().code, Core::ErrorCode::MalformedJson);
    EXPECT_EQ(Schema::from_text<Schema::LogRecord>(text).error().code, Core::ErrorCode::MalformedJson);
}
