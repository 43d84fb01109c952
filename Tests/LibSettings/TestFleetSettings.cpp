// SPDX-License-Identifier: BSD-2-Clause
#include <LibSettings/FleetSettings.h>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

class FleetSettings : public testing::Test {
protected:
    void TearDown() override { std::remove(m_path.c_str()); }

    Core::ErrorOr<Schema::DirectEntrySettings> load(std::string const& from, std::string const& to)
    {
        std::string text = R"({ // comment
            "identity": "10.0.0.1", "failure_domain": "a", "region": "r", "regions": { "a": "r" },
            "callers_address": "10.0.0.1:80", "readiness_address": "10.0.0.1:81", "platform_address": "10.9.0.1:90",
            "link_port": 7700, "key": "k",
            "bounds": { "drain_ms": 2000, "grace_s": 8, "version_ms": 8000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 100 } })";
        if (!from.empty())
            text.replace(text.find(from), from.size(), to);
        std::ofstream(m_path) << text;
        return Settings::load_fleet_settings<Schema::DirectEntrySettings>(m_path);
    }

    std::string m_path = testing::TempDir() + "fleet-settings.json";
};

TEST_F(FleetSettings, ValidSettingsAreAccepted)
{
    auto const settings = load("", "");
    ASSERT_TRUE(settings.has_value()) << settings.error().detail;
    EXPECT_EQ(settings->link_port, 7700);
}

TEST_F(FleetSettings, ErrorsNameTheInvalidKey)
{
    struct Case {
        char const* from;
        char const* to;
        Core::ErrorCode code;
        char const* key;
    };
    for (auto const& bad : { Case { "7700", "77000", Core::ErrorCode::WrongUnit, "link_port" },
             Case { "10.9.0.1:90", "nowhere", Core::ErrorCode::ImpossibleSettings, "platform_address" },
             Case { "\"key\": \"k\"", "\"key\": \"\"", Core::ErrorCode::ImpossibleSettings, "key" },
             Case { "\"retry_ratio\": 0.2", "\"retry_ratio\": 2", Core::ErrorCode::WrongUnit, "retry_ratio" },
             Case { "\"link_port\"", "\"link_prot\"", Core::ErrorCode::WrongType, "link_port" },
             Case { "\"key\": \"k\"", "\"key\": \"k\", \"surplus\": 1", Core::ErrorCode::UnknownKey, "surplus" } }) {
        auto const settings = load(bad.from, bad.to);
        ASSERT_FALSE(settings.has_value()) << bad.key;
        EXPECT_EQ(settings.error().code, bad.code) << settings.error().detail;
        EXPECT_NE(settings.error().detail.find(bad.key), std::string::npos) << settings.error().detail;
    }
}
