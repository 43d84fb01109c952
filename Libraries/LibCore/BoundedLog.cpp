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
static constexpr size_t max_bytes_per_write = 4096;
static constexpr double milliseconds_per_second = 1000;

BoundedLog::BoundedLog(EventLoop& loop, std::string process, int64_t routine_lines_per_second, int descriptor)
    : m_process(std::move(process))
    , m_lines_per_second(routine_lines_per_second)
    , m_descriptor(descriptor)
    , m_routine_tokens(static_cast<double>(routine_lines_per_second))
    , m_refilled_at(monotonic_now())
    , m_timer(loop.every(flush_interval, [this] { on_flush_timer(); }))
{
}

BoundedLog::~BoundedLog() = default;

bool BoundedLog::may_write(LogLevel level)
{
    bool const is_routine = level == LogLevel::Debug || level == LogLevel::Info;
    bool const has_space = m_buffer.size() < (is_routine ? max_buffered_routine_bytes : max_buffered_bytes);
    bool const is_within_rate = !is_routine || m_routine_tokens >= 1;
    if (!has_space || !is_within_rate) {
        m_dropped += 1;
        return false;
    }
    if (is_routine)
        m_routine_tokens -= 1;
    return true;
}

void BoundedLog::write(std::string_view line)
{
    m_buffer.append(line);
    if (m_buffer.size() >= max_bytes_per_write)
        flush();
}

void BoundedLog::flush()
{
    size_t written = 0;
    while (written < m_buffer.size()) {
        pollfd ready { m_descriptor, POLLOUT, 0 };
        bool const is_writable = poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT);
        if (!is_writable)
            break;
        auto const count = ::write(m_descriptor, m_buffer.data() + written, std::min(max_bytes_per_write, m_buffer.size() - written));
        if (count <= 0)
            break;
        written += static_cast<size_t>(count);
    }
    m_buffer.erase(0, written);
}

void BoundedLog::report_dropped_lines()
{
    if (m_dropped == m_reported_dropped || m_buffer.size() >= max_buffered_routine_bytes)
        return;
    auto const count = m_dropped - m_reported_dropped;
    m_reported_dropped = m_dropped;
    m_buffer += R"({"level":"WARN","process":")" + m_process + R"(","event":"log_lines_dropped","count":")" + std::to_string(count) + "\"}\n";
}

void BoundedLog::on_flush_timer()
{
    auto const now = monotonic_now();
    auto const elapsed = static_cast<double>((now - m_refilled_at).count());
    m_refilled_at = now;
    auto const rate = static_cast<double>(m_lines_per_second);
    m_routine_tokens = std::min(rate, m_routine_tokens + rate * elapsed / milliseconds_per_second);
    report_dropped_lines();
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
