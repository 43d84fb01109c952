// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Log.h>
#include <log4cxx/appender.h>
#include <log4cxx/layout.h>
#include <memory>
#include <string>
#include <string_view>

namespace Core {

/// Buffers log lines and writes them to a file descriptor without ever blocking.
///
/// Routine lines (debug and info) are limited to a rate and to half of the buffer. The other half is reserved for warnings and errors, so
/// that they are dropped last. Dropped lines are counted, and a log line with their number follows once the buffer has free space.
class BoundedLog {
public:
    /// Warnings and errors are dropped while at least this much is buffered.
    static constexpr size_t max_buffered_bytes = size_t { 256 } << 10;
    /// Routine lines are dropped while at least this much is buffered.
    static constexpr size_t max_buffered_routine_bytes = size_t { 128 } << 10;

    /// `process` is named in the lines that report dropped lines. The default `descriptor` is standard output.
    BoundedLog(EventLoop&, std::string process, int64_t routine_lines_per_second, int descriptor = 1);
    ~BoundedLog();
    BoundedLog(BoundedLog const&) = delete;
    BoundedLog& operator=(BoundedLog const&) = delete;

    /// Whether a line of this level may be written now. To be called before the line is formatted; false means that the line counts as
    /// dropped.
    bool may_write(LogLevel);

    /// Appends a complete line, with its line break, to the buffer. Does not check the limits: call may_write() first.
    void write(std::string_view line);

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    /// The number of lines dropped since the start.
    uint64_t dropped() const { return m_dropped; }
    /// The number of bytes in the buffer.
    size_t buffered_bytes() const { return m_buffer.size(); }

    /// Creates a log4cxx appender that writes to this log, which must outlive its use.
    log4cxx::AppenderPtr appender(log4cxx::LayoutPtr const&);

private:
    void on_flush_timer();
    void report_dropped_lines();

    std::string m_process;
    int64_t m_lines_per_second;
    int m_descriptor;
    std::string m_buffer;
    // A token bucket: how many routine lines may still be written now, at most those of one second.
    double m_routine_tokens;
    Time m_refilled_at;
    uint64_t m_dropped { 0 };
    uint64_t m_reported_dropped { 0 };
    std::unique_ptr<Timer> m_timer;
};

}
