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

/// Lines on their way to a file descriptor that is never waited for.
///
/// Routine lines (debug and info) have a rate; warnings and errors have the rest of the buffer to themselves, so that
/// failures are the last to give way. What was dropped is counted, and told in a line as soon as there is room.
class BoundedLog {
public:
    static constexpr size_t max_kept_bytes = size_t { 256 } << 10;
    static constexpr size_t max_kept_routine_bytes = size_t { 128 } << 10;

    BoundedLog(EventLoop&, std::string process, int64_t routine_lines_per_second, int descriptor = 1);
    ~BoundedLog();
    BoundedLog(BoundedLog const&) = delete;
    BoundedLog& operator=(BoundedLog const&) = delete;

    /// Asked before a line is made: false drops and counts it.
    bool may_write(LogLevel);

    /// Takes a whole line.
    void write(std::string_view line);

    /// Writes as much as the descriptor takes at once.
    void flush();

    uint64_t dropped() const { return m_dropped; }
    size_t kept_bytes() const { return m_kept.size(); }

    /// The log4cxx appender that writes here.
    log4cxx::AppenderPtr appender(log4cxx::LayoutPtr const&);

private:
    void turn();
    void tell_dropped();

    std::string m_process;
    int64_t m_lines_per_second;
    int m_descriptor;
    std::string m_kept;
    double m_routine_left;
    Time m_filled_at;
    uint64_t m_dropped { 0 };
    uint64_t m_told_dropped { 0 };
    std::unique_ptr<Timer> m_timer;
};

}
