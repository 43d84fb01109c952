// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
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

/// Writes one event as one JSON line through log4cxx.
void log_event(LogLevel, char const* event, std::initializer_list<LogField> fields = {});

}
