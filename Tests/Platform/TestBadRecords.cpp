// SPDX-License-Identifier: BSD-2-Clause
#include "../../platform/Records.h"
#include <LibCore/Log.h>
#include <LibPlatform/BadRecords.h>
#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace Platform;

namespace {

constexpr int thousand = 1000;

/// Redirects the log to a temporary file during its lifetime.
class LogFile {
public:
    LogFile()
        : m_path(std::filesystem::temp_directory_path() / ("mountbarrow-bad-records-" + std::to_string(getpid())))
    {
        std::filesystem::remove(m_path);
        Core::configure_log("test", Core::LogLevel::Warn, m_path);
    }

    ~LogFile()
    {
        // Discards what other tests log.
        Core::configure_log("test", Core::LogLevel::Error, "/dev/null");
        std::filesystem::remove(m_path);
    }

    LogFile(LogFile const&) = delete;
    LogFile& operator=(LogFile const&) = delete;

    std::vector<std::string> lines(std::string const& event) const
    {
        std::vector<std::string> lines;
        std::ifstream file(m_path);
        for (std::string line; std::getline(file, line);) {
            if (line.find("\"event\":\"" + event + "\"") != std::string::npos)
                lines.push_back(line);
        }
        return lines;
    }

private:
    std::filesystem::path m_path;
};

BadRecord bad(std::string const& key, Core::ErrorCode code, int64_t revision)
{
    return { key, revision, { code, "State" } };
}

/// Processor time of this thread in nanoseconds.
int64_t processor_time()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return int64_t { 1000000000 } * time.tv_sec + time.tv_nsec;
}

std::string good_body(int number)
{
    return R"({"Service":"s","Address":"10.0.)" + std::to_string(number / 250) + "." + std::to_string(number % 250) + R"(:80","Zone":"z","Version":"v1","Slots":16,"State":"ready","ColdLeftMs":0,"Stage":"both","Models":[{"Name":"m","Version":3,"Adapters":[]}],"layers":{"From":0,"TargetVersion":16,"Version":3},"CallSeq":4})";
}

/// Returns a record that cannot be decoded, in one of four ways.
std::string foreign_body(int number)
{
    auto const body = good_body(number);
    switch (number % 4) {
    case 0:
        return body.substr(0, body.size() - 3);
    case 1:
        return R"({"Other":)" + body + "}";
    case 2:
        return "\xff\xfe" + body;
    default:
        return "[" + body + "]";
    }
}

/// Decodes and applies the records of one read of the list, as a process does.
class Reader {
public:
    void read(std::vector<std::string> const& bodies)
    {
        FactPage page;
        for (size_t i = 0; i < bodies.size(); ++i)
            PlatformAdapter::add_record(Configuration::FactTopic::BackendServers, PlatformAdapter::CustomerKeys::NotExpected, "i-" + std::to_string(i), m_revision++, bodies[i], page);
        for (auto const& record : page.bad) {
            bad.report_record(record);
            page.facts.push_back({ Schema::FactKind::BackendServer, record.key, record.revision, Configuration::Unreadable {} });
        }
        replica.on_records(Configuration::FactTopic::BackendServers, page.facts, m_revision, { Core::Time(0), {} });
    }

    Core::Metrics metrics;
    BadRecords bad { metrics };
    Configuration::FactReplica replica;

private:
    int64_t m_revision { 0 };
};

/// Returns the shortest processor time, in nanoseconds, of several reads of `repeated`.
int64_t least_time(std::vector<std::string> const& first, std::vector<std::string> const& repeated)
{
    static constexpr int readings = 7;
    Reader reader;
    reader.read(first);
    reader.read(repeated);
    int64_t least = INT64_MAX;
    for (int i = 0; i < readings; ++i) {
        auto const began = processor_time();
        reader.read(repeated);
        least = std::min(least, processor_time() - began);
    }
    return least;
}

}

TEST(BadRecords, EachKeyAndReasonIsLoggedOnce)
{
    LogFile const log;
    Core::Metrics metrics;
    BadRecords records(metrics);
    for (int i = 0; i < thousand; ++i) {
        records.report_record(bad("i-1", Core::ErrorCode::UnreadableField, i));
        records.report_record(bad("i-1", Core::ErrorCode::MalformedJson, i));
        records.report_record(bad("i-2", Core::ErrorCode::UnreadableField, i));
    }
    EXPECT_EQ(log.lines("bad_record").size(), 3u);
    EXPECT_NE(log.lines("bad_record")[0].find(R"("key":"i-1","revision":"0","reason":"unreadable_field","detail":"State")"), std::string::npos);
    EXPECT_EQ(metrics.counter("mountbarrow_bad_records_total", "reason=\"unreadable_field\""), 2u * thousand);
    EXPECT_EQ(metrics.counter("mountbarrow_bad_records_total", "reason=\"malformed_json\""), 1u * thousand);
}

TEST(BadRecords, LoggedRecordsAreLimitedAndAllAreCounted)
{
    LogFile const log;
    Core::Metrics metrics;
    BadRecords records(metrics);
    auto const count = 3 * BadRecords::max_logged;
    for (int again = 0; again < 2; ++again) {
        for (size_t i = 0; i < count; ++i)
            records.report_record(bad("\xff" + std::to_string(i), Core::ErrorCode::MalformedJson, 1));
    }
    EXPECT_EQ(records.logged_count(), BadRecords::max_logged);
    EXPECT_EQ(log.lines("bad_record").size(), BadRecords::max_logged);
    // A log line states that further records are not logged.
    EXPECT_EQ(log.lines("bad_records_not_named").size(), 1u);
    EXPECT_EQ(metrics.counter("mountbarrow_bad_records_total", "reason=\"malformed_json\""), 2 * count);
}

TEST(BadRecords, AThousandBadRecordsCostNoMoreThanAThousandGoodOnes)
{
    LogFile const log;
    std::vector<std::string> good;
    std::vector<std::string> foreign;
    for (int i = 0; i < thousand; ++i) {
        good.push_back(good_body(i));
        foreign.push_back(foreign_body(i));
    }
    auto const cost_of_good = least_time(good, good);
    EXPECT_LE(least_time(foreign, foreign), cost_of_good);
    // The same if each is the newest record of a known server.
    EXPECT_LE(least_time(good, foreign), cost_of_good);
}
