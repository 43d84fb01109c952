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

/// A field of a log line: its key and its value.
using LogField = std::pair<char const*, std::string>;

/// Directs logs to standard error or, if `file` is not empty, to a file.
void configure_log(std::string const& process, LogLevel least, std::string const& file = {});

class EventLoop;

inline constexpr int64_t default_log_lines_per_second = 400;

/// Directs logs to standard output without ever waiting for it: lines that it does not take at once are kept up to a
/// bound, routine lines beyond `routine_lines_per_second` are dropped before any other, and a line says how many were.
void configure_bounded_log(EventLoop&, std::string const& process, int64_t routine_lines_per_second);

/// Writes what is kept, as far as standard output takes it at once.
void flush_log();

/// Writes one event as one JSON line through log4cxx.
void log_event(LogLevel, char const* event, std::initializer_list<LogField> fields = {});

}
