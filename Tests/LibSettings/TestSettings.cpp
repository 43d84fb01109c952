// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/ReplayedState.h>
#include <LibSettings/Settings.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace {

class SettingsTest : public testing::Test {
protected:
    std::string path = testing::TempDir() + "settings.json";

    Core::ErrorOr<Schema::EntrySettings> load(std::string const& members)
    {
        std::ofstream(path) << R"({"identity":"e","address":"127.0.0.1","http_port":0,"failure_domain":"d","region":"r",
            // The platform listens here.
            "platform_address":"127.0.0.1","platform_port":1,"key_file":"k")"
                            << members << "}";
        return Settings::load_entry(path);
    }

    void expect_failure(std::string const& members, Core::ErrorCode code, std::string const& key)
    {
        auto const result = load(members);
        ASSERT_FALSE(result.has_value()) << members;
        EXPECT_EQ(result.error().code, code) << result.error().detail;
        EXPECT_NE(result.error().detail.find(key), std::string::npos) << result.error().detail;
        EXPECT_NE(result.error().detail.find(path), std::string::npos);
    }
};

}

static void check_resources(std::string const& path)
{
    std::ifstream file(path);
    auto const value = nlohmann::json::parse(file, nullptr, true, true);
    for (auto const& resource : value.at("resources")) {
        auto const kind = resource.at("kind").get<Schema::ChangeKind>();
        auto const checked = Configuration::check_spec(kind, resource.at("name"), resource.at("spec").dump());
        EXPECT_TRUE(checked.has_value()) << path << ": " << resource.dump();
    }
}

TEST_F(SettingsTest, CommentsAreRead)
{
    EXPECT_TRUE(load("").has_value());
}

TEST_F(SettingsTest, ErrorsNameTheFileTheKeyAndTheReason)
{
    expect_failure(R"(,"unheard_of":1)", Core::ErrorCode::UnknownKey, "unheard_of");
    expect_failure(R"(,"lease_ms":"3s")", Core::ErrorCode::WrongType, "number");
    expect_failure(R"(,"lease_ms":-1)", Core::ErrorCode::WrongUnit, "lease_ms");
    expect_failure(R"(,"retry_ratio":10)", Core::ErrorCode::WrongUnit, "retry_ratio");
    expect_failure(R"(,"lease_ms":500,"list_poll_ms":500)", Core::ErrorCode::ImpossibleSettings, "list_poll_ms");
    expect_failure(R"(,"address":"localhost")", Core::ErrorCode::ImpossibleSettings, "address");
    expect_failure(R"(,)", Core::ErrorCode::MalformedJson, "JSON");
}

TEST_F(SettingsTest, AMissingFileIsUnreadable)
{
    EXPECT_EQ(Settings::load_agent(path + ".none").error().code, Core::ErrorCode::FileUnreadable);
}

TEST_F(SettingsTest, TheExamplesAreValid)
{
    for (auto const& entry : std::filesystem::directory_iterator(EXAMPLE_DIRECTORY)) {
        auto const name = entry.path().filename().string();
        if (name.find("-entry") != std::string::npos)
            EXPECT_TRUE(Settings::load_entry(entry.path()).has_value()) << name;
        else if (name.find("-agent-") != std::string::npos)
            EXPECT_TRUE(Settings::load_agent(entry.path()).has_value()) << name;
        else
            check_resources(entry.path());
    }
}

TEST_F(SettingsTest, TokensHaveOneOfTwoRoles)
{
    std::ofstream(path) << R"({"a":"reader","b":"operator"})";
    auto const tokens = Settings::load_tokens(path);
    ASSERT_TRUE(tokens.has_value());
    EXPECT_EQ(tokens->at("b"), Settings::OperatorRole::Operator);
    std::ofstream(path) << R"({"a":"king"})";
    EXPECT_EQ(Settings::load_tokens(path).error().code, Core::ErrorCode::WrongType);
}
