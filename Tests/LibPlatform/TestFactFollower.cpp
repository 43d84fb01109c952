// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/FactFollower.h>
#include <gtest/gtest.h>

using namespace Platform;

namespace {

/// A log that turns every call away, and counts them.
class RefusingLog final : public FactLog {
public:
    void read(Configuration::FactTopic, int64_t, Core::Duration, Callback callback) override { refuse(callback); }
    void read_newest(Configuration::FactTopic, Callback callback) override { refuse(callback); }

    int calls { 0 };

private:
    void refuse(Callback const& callback)
    {
        calls += 1;
        callback(tl::unexpected(FactLogFault::Refused));
    }
};

/// A log that answers with nothing new, and counts the reads of the list.
class QuietLog final : public FactLog {
public:
    void read(Configuration::FactTopic topic, int64_t, Core::Duration, Callback callback) override { answer(topic, callback); }
    void read_newest(Configuration::FactTopic topic, Callback callback) override { answer(topic, callback); }

    int list_reads { 0 };

private:
    void answer(Configuration::FactTopic topic, Callback const& callback)
    {
        // A read of the configuration stays open.
        if (topic == Configuration::FactTopic::Configuration)
            return;
        list_reads += 1;
        callback(FactPage {});
    }
};

}

TEST(FactFollower, AListThatIsDoubtedIsReadAgainOnceAndNotTooOften)
{
    Core::EventLoop loop;
    QuietLog log;
    Configuration::FactReplica replica;
    FactFollowerSettings settings;
    settings.servers_interval = Core::Duration(60000);
    settings.doubted_interval = Core::Duration(40);
    FactFollower follower(loop, log, replica, settings, { .changed = [](auto const&) {}, .failing = [](auto) {}, .bad_record = [](auto const&) {} });
    follower.start();
    EXPECT_EQ(log.list_reads, 1);
    for (int i = 0; i < 100; ++i)
        follower.on_servers_doubted();
    EXPECT_EQ(log.list_reads, 1);
    auto const end = loop.after(Core::Duration(300), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(log.list_reads, 2);
}

TEST(FactFollower, ALogThatTurnsCallsAwayIsAskedLessAndLess)
{
    Core::EventLoop loop;
    RefusingLog log;
    Configuration::FactReplica replica;
    int told = 0;
    FactFollowerSettings settings;
    settings.retry_interval = Core::Duration(10);
    settings.longest_retry_interval = Core::Duration(80);
    FactFollower follower(loop, log, replica, settings, { .changed = [](auto const&) {}, .failing = [&](auto) { told += 1; }, .bad_record = [](auto const&) {} });
    follower.start();
    auto const end = loop.after(Core::Duration(400), [&] { loop.stop(); });
    loop.run();
    // Of two topics, each after 0, 10, 30, 70, 150, 230, 310 and 390 ms at the soonest.
    EXPECT_LE(log.calls, 16);
    EXPECT_GE(log.calls, 2);
    EXPECT_EQ(told, log.calls);
}
