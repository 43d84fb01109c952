// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace Core {

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/// The key and the value of a field of a log line.
using LogField = std::pair<char const*, std::string>;

/// Directs logs of at least the level `min_level` to standard error or, if `file` is not empty, appends them to that file. Writing may
/// block.
void configure_log(std::string const& process, LogLevel min_level, std::string const& file = {});

class EventLoop;

inline constexpr int64_t default_log_lines_per_second = 400;

/// Directs logs of at least the level Info to standard output without ever blocking. Lines that standard output does not accept at once are
/// buffered up to a limit. Routine lines (debug and info) beyond `routine_lines_per_second` are dropped, and a log line with the event
/// `log_lines_dropped` reports how many lines were dropped.
void configure_bounded_log(EventLoop&, std::string const& process, int64_t routine_lines_per_second);

/// Writes the lines buffered by configure_bounded_log(), as far as standard output accepts them without blocking.
void flush_log();

/// Writes an event with its fields as one line of JSON through log4cxx. Does nothing until a log is configured.
void log_event(LogLevel, char const* event, std::initializer_list<LogField> fields = {});

}
