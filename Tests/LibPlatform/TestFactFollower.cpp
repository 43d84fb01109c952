// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/FactFollower.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <thread>

using namespace Platform;

namespace {

/// A log that refuses every call, and counts the calls.
class RefusingLog final : public FactLog {
public:
    void read(Configuration::FactTopic, int64_t, ReadTimeouts, Callback callback) override { refuse(callback); }
    void read_newest(Configuration::FactTopic, ReadTimeouts, Callback callback) override { refuse(callback); }

    int calls { 0 };

private:
    void refuse(Callback const& callback)
    {
        calls += 1;
        callback(tl::unexpected(FactLogFault::Refused));
    }
};

/// A log that has no new records, and counts the reads of the list of backend servers.
class QuietLog final : public FactLog {
public:
    void read(Configuration::FactTopic topic, int64_t, ReadTimeouts, Callback callback) override { answer(topic, callback); }
    void read_newest(Configuration::FactTopic topic, ReadTimeouts, Callback callback) override { answer(topic, callback); }

    int list_reads { 0 };

private:
    void answer(Configuration::FactTopic topic, Callback const& callback)
    {
        // A read of the configuration is never answered.
        if (topic == Configuration::FactTopic::Configuration)
            return;
        list_reads += 1;
        callback(FactPage {});
    }
};

}

TEST(FactFollower, AListMismatchCausesOneEarlyRead)
{
    Core::EventLoop loop;
    QuietLog log;
    Configuration::FactReplica replica;
    FactFollowerSettings settings;
    settings.servers_interval = Core::Duration(60000);
    settings.mismatch_interval = Core::Duration(40);
    Core::PauseWatch const pauses(loop);
    FactFollower follower(loop, pauses, log, replica, settings, { .changed = [](auto const&) {}, .read_failed = [](auto, auto) {}, .read_recovered = [](auto, auto) {}, .bad_record = [](auto const&) {} });
    follower.start();
    EXPECT_EQ(log.list_reads, 1);
    for (int i = 0; i < 100; ++i)
        follower.on_server_list_mismatch();
    EXPECT_EQ(log.list_reads, 1);
    auto const end = loop.after(Core::Duration(300), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(log.list_reads, 2);
}

TEST(FactFollower, ALogThatRefusesCallsIsRetriedWithBackoff)
{
    Core::EventLoop loop;
    RefusingLog log;
    Configuration::FactReplica replica;
    int failed_reads = 0;
    FactFollowerSettings settings;
    settings.retry_interval = Core::Duration(10);
    settings.longest_retry_interval = Core::Duration(80);
    Core::PauseWatch const pauses(loop);
    FactFollower follower(loop, pauses, log, replica, settings, { .changed = [](auto const&) {}, .read_failed = [&](auto, auto) { failed_reads += 1; }, .read_recovered = [](auto, auto) {}, .bad_record = [](auto const&) {} });
    follower.start();
    auto const end = loop.after(Core::Duration(400), [&] { loop.stop(); });
    loop.run();
    // Reads of two topics, each at 0, 10, 30, 70, 150, 230, 310 and 390 ms at the earliest.
    EXPECT_LE(log.calls, 16);
    EXPECT_GE(log.calls, 2);
    EXPECT_EQ(failed_reads, log.calls);
}

namespace {

/// A log whose reads the test answers explicitly.
class HeldLog final : public FactLog {
public:
    struct Read {
        Configuration::FactTopic topic;
        ReadTimeouts timeouts;
        Callback callback;
    };

    void read(Configuration::FactTopic topic, int64_t, ReadTimeouts timeouts, Callback callback) override { reads.push_back({ topic, timeouts, std::move(callback) }); }
    void read_newest(Configuration::FactTopic topic, ReadTimeouts timeouts, Callback callback) override { reads.push_back({ topic, timeouts, std::move(callback) }); }

    /// Removes and returns the read of the operator's records that is in flight.
    Read take_configuration_read()
    {
        auto const found = std::find_if(reads.begin(), reads.end(), [](auto const& read) { return read.topic == Configuration::FactTopic::Configuration; });
        auto read = std::move(*found);
        reads.erase(found);
        return read;
    }

    bool has_configuration_read() const
    {
        return std::any_of(reads.begin(), reads.end(), [](auto const& read) { return read.topic == Configuration::FactTopic::Configuration; });
    }

    std::vector<Read> reads;
};

/// A follower of a HeldLog whose first read is answered, with a count of its callbacks.
class HeldFollower {
public:
    HeldFollower()
    {
        m_follower.start();
        m_log.take_configuration_read().callback(FactPage {});
    }

    /// Runs the event loop until the operator's records are read, and returns that read.
    HeldLog::Read next_read()
    {
        m_poll = m_loop.every(Core::Duration(1), [this] {
            if (m_log.has_configuration_read())
                m_loop.stop();
        });
        m_loop.run();
        m_poll.reset();
        return m_log.take_configuration_read();
    }

    static FactPage naming(int64_t version, int64_t offset)
    {
        FactPage page;
        page.facts = { { Schema::FactKind::ModelVersion, "version/m", offset, Schema::ModelVersion { .model = "m", .version = version } } };
        page.end = offset + 1;
        return page;
    }

    void restart_reads() { m_follower.restart_reads(); }
    bool was_read_since(Core::Time time) const { return m_follower.read_at() >= time; }
    HeldLog& log() { return m_log; }

    Configuration::NamedVersion const& newest() const { return m_replica.versions().at("m").versions.back(); }

    int read_recovered { 0 };

private:
    Core::EventLoop m_loop;
    Core::PauseWatch m_pauses { m_loop };
    HeldLog m_log;
    Configuration::FactReplica m_replica;
    FactFollower m_follower { m_loop, m_pauses, m_log, m_replica, {}, { .changed = [](auto const&) {}, .read_failed = [](auto, auto) {}, .read_recovered = [this](auto, auto) { read_recovered += 1; }, .bad_record = [](auto const&) {} } };
    std::unique_ptr<Core::Timer> m_poll;
};

}

TEST(FactFollower, AVersionReadAfterAnUnansweredReadIsDatedToTheStartOfThatRead)
{
    HeldFollower follower;
    auto const silent = follower.next_read();
    auto const begun_by = Core::monotonic_now();
    EXPECT_GT(silent.timeouts.wait.count(), 0);
    silent.callback(tl::unexpected(FactLogFault::Unavailable));
    follower.next_read().callback(HeldFollower::naming(2, 0));
    EXPECT_TRUE(follower.newest().named);
    EXPECT_LE(*follower.newest().named, begun_by);
    // Two answered reads close the gap.
    follower.next_read().callback(FactPage {});
    follower.next_read().callback(FactPage {});
    auto const followed_from = Core::monotonic_now();
    follower.next_read().callback(HeldFollower::naming(3, 1));
    EXPECT_GE(*follower.newest().named, followed_from);
}

TEST(FactFollower, AVersionReadAfterSeveralFailuresIsDatedToTheFirst)
{
    for (auto const second : { FactLogFault::Unavailable, FactLogFault::Refused, FactLogFault::HistoryGone }) {
        HeldFollower follower;
        auto const silent = follower.next_read();
        auto const begun_by = Core::monotonic_now();
        silent.callback(tl::unexpected(FactLogFault::Unavailable));
        follower.next_read().callback(tl::unexpected(second));
        follower.next_read().callback(HeldFollower::naming(2, 0));
        EXPECT_LE(*follower.newest().named, begun_by);
    }
}

TEST(FactFollower, AVersionReadAfterAnOutageWasNamedWhenTheLogWasBack)
{
    HeldFollower follower;
    for (int i = 0; i < 3; ++i)
        follower.next_read().callback(tl::unexpected(FactLogFault::Refused));
    auto const away_until = Core::monotonic_now();
    follower.next_read().callback(tl::unexpected(FactLogFault::Refused));
    follower.next_read().callback(HeldFollower::naming(2, 0));
    EXPECT_GE(*follower.newest().named, away_until);
}

TEST(FactFollower, RecordsOfTheNextPageMayBeAsOldAsThoseOfTheFirst)
{
    HeldFollower follower;
    auto const hung = follower.next_read();
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    auto const known_until = Core::monotonic_now();
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    hung.callback(tl::unexpected(FactLogFault::Unavailable));
    FactPage part;
    part.end = 1;
    part.log_end = 2;
    follower.next_read().callback(part);
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    follower.next_read().callback(HeldFollower::naming(2, 1));
    EXPECT_LE(*follower.newest().named, known_until);
}

TEST(FactFollower, AnEmptyAnswerDuringAPauseDoesNotDateTheNextRecord)
{
    HeldFollower follower;
    auto const parked = follower.next_read();
    auto const paused_at = Core::monotonic_now();
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    parked.callback(FactPage {});
    follower.next_read().callback(HeldFollower::naming(2, 0));
    EXPECT_LE(*follower.newest().named, paused_at);
}

TEST(FactFollower, AfterAFailedReadTheNextOnesDoNotWaitForRecords)
{
    HeldFollower follower;
    for (int i = 0; i < 3; ++i) {
        auto const read = follower.next_read();
        EXPECT_EQ(read.timeouts.wait.count() > 0, i == 0);
        read.callback(tl::unexpected(FactLogFault::Unavailable));
    }
    EXPECT_EQ(follower.read_recovered, 0);
    auto const probe = follower.next_read();
    EXPECT_EQ(probe.timeouts.wait.count(), 0);
    probe.callback(FactPage {});
    EXPECT_EQ(follower.read_recovered, 1);
    EXPECT_GT(follower.next_read().timeouts.wait.count(), 0);
}

TEST(FactFollower, AVersionOfTheFirstReadHasNoDate)
{
    Core::EventLoop loop;
    HeldLog log;
    Configuration::FactReplica replica;
    Core::PauseWatch const pauses(loop);
    FactFollower follower(loop, pauses, log, replica, {}, { .changed = [](auto const&) {}, .read_failed = [](auto, auto) {}, .read_recovered = [](auto, auto) {}, .bad_record = [](auto const&) {} });
    follower.start();
    log.take_configuration_read().callback(HeldFollower::naming(2, 0));
    EXPECT_FALSE(replica.versions().at("m").versions.back().named);
    EXPECT_TRUE(replica.versions().at("m").has_undated());
}

TEST(FactFollower, AVersionReadAfterAPauseIsDatedToTheStartOfThePause)
{
    HeldFollower follower;
    auto const parked = follower.next_read();
    auto const paused_at = Core::monotonic_now();
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    parked.callback(HeldFollower::naming(2, 0));
    EXPECT_LE(*follower.newest().named, paused_at);
}

TEST(FactFollower, AfterAPauseReadsRestartAndEarlierAnswersAreIgnored)
{
    HeldFollower follower;
    auto const before = follower.next_read();
    auto const begun_by = Core::monotonic_now();
    follower.restart_reads();
    ASSERT_TRUE(follower.log().has_configuration_read());
    auto const anew = follower.log().take_configuration_read();
    EXPECT_EQ(anew.timeouts.wait.count(), 0) << "a read after a pause must not wait for a record";
    before.callback(HeldFollower::naming(2, 0));
    anew.callback(HeldFollower::naming(3, 1));
    EXPECT_EQ(follower.newest().version, 3);
    EXPECT_EQ(follower.newest().named.has_value() ? follower.newest().named.value() <= begun_by : true, true) << "the version may have been named during the pause";
}

TEST(FactFollower, TheHistoryIsReadOnceAtTheStartBeforeFactsAreApplied)
{
    class LogWithHistory final : public FactLog {
    public:
        void read(Configuration::FactTopic, int64_t, ReadTimeouts, Callback) override { }
        void read_newest(Configuration::FactTopic topic, ReadTimeouts, Callback callback) override
        {
            callback(topic == Configuration::FactTopic::Configuration ? HeldFollower::naming(2, 9) : FactPage {});
        }
        void read_history(Configuration::FactTopic, int64_t end, ReadTimeouts, Callback callback) override
        {
            EXPECT_EQ(end, 10);
            reads += 1;
            callback(HeldFollower::naming(3, 4));
        }
        int reads { 0 };
    };
    Core::EventLoop loop;
    Core::PauseWatch const pauses(loop);
    LogWithHistory log;
    Configuration::FactReplica replica;
    std::vector<Configuration::FactChanges> changes_seen;
    FactFollower follower(loop, pauses, log, replica, {}, { .changed = [&](auto const& changes) { changes_seen.push_back(changes); }, .read_failed = [](auto, auto) {}, .read_recovered = [](auto, auto) {}, .bad_record = [](auto const&) {} });
    follower.start();
    EXPECT_EQ(log.reads, 1);
    ASSERT_EQ(changes_seen.size(), 1u);
    EXPECT_EQ(replica.versions().at("m").newest(), 3);
    EXPECT_EQ(changes_seen[0].keys_with_older_records, std::vector<std::string> { "version/m" });
}
