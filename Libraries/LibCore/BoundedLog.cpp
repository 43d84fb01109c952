// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/BoundedLog.h>

#include <algorithm>
#include <log4cxx/appenderskeleton.h>
#include <poll.h>
#include <unistd.h>

// The macros of log4cxx only work in the global namespace and with the names of log4cxx visible.
using namespace log4cxx;

class BoundedAppender final : public AppenderSkeleton {
public:
    DECLARE_LOG4CXX_OBJECT(BoundedAppender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(BoundedAppender)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    void set_log(Core::BoundedLog& log) { m_log = &log; }
    void close() override { m_log = nullptr; }
    bool requiresLayout() const override { return true; }

protected:
    void append(spi::LoggingEventPtr const& event, helpers::Pool& pool) override
    {
        if (!m_log)
            return;
        LogString text;
        getLayout()->format(text, event, pool);
        m_log->write(text);
    }

private:
    Core::BoundedLog* m_log { nullptr };
};

IMPLEMENT_LOG4CXX_OBJECT(BoundedAppender)

namespace Core {

static constexpr Duration flush_interval { 100 };
// poll() reports a pipe as writable if this many bytes fit without blocking (PIPE_BUF in POSIX).
static constexpr size_t most_per_write = 4096;
static constexpr double milliseconds_per_second = 1000;

BoundedLog::BoundedLog(EventLoop& loop, std::string process, int64_t routine_lines_per_second, int descriptor)
    : m_process(std::move(process))
    , m_lines_per_second(routine_lines_per_second)
    , m_descriptor(descriptor)
    , m_routine_left(static_cast<double>(routine_lines_per_second))
    , m_filled_at(monotonic_now())
    , m_timer(loop.every(flush_interval, [this] { turn(); }))
{
}

BoundedLog::~BoundedLog() = default;

bool BoundedLog::may_write(LogLevel level)
{
    bool const is_routine = level == LogLevel::Debug || level == LogLevel::Info;
    bool const has_room = m_kept.size() < (is_routine ? max_kept_routine_bytes : max_kept_bytes);
    bool const is_within_rate = !is_routine || m_routine_left >= 1;
    if (!has_room || !is_within_rate) {
        m_dropped += 1;
        return false;
    }
    if (is_routine)
        m_routine_left -= 1;
    return true;
}

void BoundedLog::write(std::string_view line)
{
    m_kept.append(line);
    if (m_kept.size() >= most_per_write)
        flush();
}

void BoundedLog::flush()
{
    size_t written = 0;
    while (written < m_kept.size()) {
        pollfd ready { m_descriptor, POLLOUT, 0 };
        bool const takes_more = poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT);
        if (!takes_more)
            break;
        auto const count = ::write(m_descriptor, m_kept.data() + written, std::min(most_per_write, m_kept.size() - written));
        if (count <= 0)
            break;
        written += static_cast<size_t>(count);
    }
    m_kept.erase(0, written);
}

void BoundedLog::tell_dropped()
{
    if (m_dropped == m_told_dropped || m_kept.size() >= max_kept_routine_bytes)
        return;
    auto const count = m_dropped - m_told_dropped;
    m_told_dropped = m_dropped;
    m_kept += R"({"level":"WARN","process":")" + m_process + R"(","event":"log_lines_dropped","count":")" + std::to_string(count) + "\"}\n";
}

void BoundedLog::turn()
{
    auto const now = monotonic_now();
    auto const elapsed = static_cast<double>((now - m_filled_at).count());
    m_filled_at = now;
    auto const rate = static_cast<double>(m_lines_per_second);
    m_routine_left = std::min(rate, m_routine_left + rate * elapsed / milliseconds_per_second);
    tell_dropped();
    flush();
}

log4cxx::AppenderPtr BoundedLog::appender(log4cxx::LayoutPtr const& layout)
{
    auto appender = std::make_shared<BoundedAppender>();
    appender->set_log(*this);
    appender->setLayout(layout);
    return appender;
}

}
