// SPDX-License-Identifier: BSD-2-Clause
#include <LibSettings/ProcessMain.h>
#include <csignal>
#include <fstream>
#include <gtest/gtest.h>

TEST(ProcessMain, ReloadSignalDuringStartupIsDeliveredLater)
{
    Settings::block_reload_signal();
    std::raise(SIGHUP);
    Core::EventLoop loop;
    int reloads = 0;
    loop.on_reload_signal([&] {
        reloads += 1;
        loop.stop();
    });
    Settings::unblock_reload_signal();
    loop.run();
    EXPECT_EQ(reloads, 1);
}

TEST(ProcessMain, RewrittenFileIsDetectedOnce)
{
    auto const path = testing::TempDir() + "mountbarrow-watched";
    std::ofstream(path) << "first";
    Settings::FileWatch watch(path);
    EXPECT_FALSE(watch.has_changed());
    std::filesystem::last_write_time(path, std::filesystem::last_write_time(path) + std::chrono::seconds(1));
    EXPECT_TRUE(watch.has_changed());
    EXPECT_FALSE(watch.has_changed());
    std::filesystem::remove(path);
    EXPECT_FALSE(watch.has_changed());
}
