// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/BoundedLog.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace Core;

class BoundedLogTest : public testing::Test {
protected:
    void SetUp() override { ASSERT_EQ(pipe2(m_pipe, O_NONBLOCK), 0); }

    void TearDown() override
    {
        close(m_pipe[0]);
        close(m_pipe[1]);
    }

    std::string read_all()
    {
        std::string text;
        char buffer[4096];
        for (ssize_t count = read(m_pipe[0], buffer, sizeof(buffer)); count > 0; count = read(m_pipe[0], buffer, sizeof(buffer)))
            text.append(buffer, static_cast<size_t>(count));
        return text;
    }

    void run_for_150_ms(EventLoop& loop)
    {
        auto const stop = loop.after(Duration(150), [&] { loop.stop(); });
        loop.run();
    }

    int m_pipe[2] { -1, -1 };
};

TEST_F(BoundedLogTest, FloodOfLinesStaysBoundedAndDropsErrorsLast)
{
    EventLoop loop;
    BoundedLog log(loop, "test", 1000000, m_pipe[1]);
    std::string const line(1000, 'x');
    size_t routine = 0;
    // Nothing reads from the pipe, so once the pipe is full all lines are buffered, up to the limit.
    for (int i = 0; i < 2000; ++i) {
        if (!log.may_write(LogLevel::Info))
            continue;
        log.write(line);
        routine += 1;
    }
    EXPECT_LT(routine, 2000u);
    EXPECT_LE(log.buffered_bytes(), BoundedLog::max_buffered_routine_bytes + line.size());
    EXPECT_FALSE(log.may_write(LogLevel::Info));
    ASSERT_TRUE(log.may_write(LogLevel::Error));
    log.write("a failure\n");
    for (int i = 0; i < 2000; ++i) {
        if (log.may_write(LogLevel::Error))
            log.write(line);
    }
    EXPECT_LE(log.buffered_bytes(), BoundedLog::max_buffered_bytes + line.size());
    EXPECT_GT(log.dropped(), 0u);
}

TEST_F(BoundedLogTest, ReportsDroppedLinesOnceTheBufferHasSpace)
{
    EventLoop loop;
    BoundedLog log(loop, "test", 1, m_pipe[1]);
    EXPECT_TRUE(log.may_write(LogLevel::Info));
    log.write("one\n");
    EXPECT_FALSE(log.may_write(LogLevel::Info));
    EXPECT_FALSE(log.may_write(LogLevel::Info));
    run_for_150_ms(loop);
    auto const text = read_all();
    EXPECT_NE(text.find("one\n"), std::string::npos);
    EXPECT_NE(text.find(R"("event":"log_lines_dropped","count":"2")"), std::string::npos);
}
