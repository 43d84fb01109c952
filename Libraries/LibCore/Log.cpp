// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/BoundedLog.h>
#include <LibCore/Log.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

namespace Core {

static log4cxx::LoggerPtr s_logger;
static std::unique_ptr<BoundedLog> s_bounded_log;
// log4cxx prints a quoted letter of a date format with its quotes, so the T stands between two date conversions.
static constexpr char const* s_pattern = R"({"time":"%d{yyyy-MM-dd}{GMT}T%d{HH:mm:ss.SSS}{GMT}Z","level":"%p","process":"%c",%m}%n)";

static log4cxx::LevelPtr to_level(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

void configure_log(std::string const& process, LogLevel min_level, std::string const& file)
{
    s_logger = log4cxx::Logger::getLogger(process);
    auto layout = std::make_shared<log4cxx::PatternLayout>(s_pattern);
    log4cxx::AppenderPtr appender;
    if (file.empty())
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
    else
        appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
    s_logger->removeAllAppenders();
    s_logger->setAdditivity(false);
    s_logger->addAppender(appender);
    s_logger->setLevel(to_level(min_level));
}

void configure_bounded_log(EventLoop& loop, std::string const& process, int64_t routine_lines_per_second)
{
    s_logger = log4cxx::Logger::getLogger(process);
    s_bounded_log = std::make_unique<BoundedLog>(loop, process, routine_lines_per_second);
    s_logger->removeAllAppenders();
    s_logger->setAdditivity(false);
    s_logger->addAppender(s_bounded_log->appender(std::make_shared<log4cxx::PatternLayout>(s_pattern)));
    s_logger->setLevel(log4cxx::Level::getInfo());
}

void flush_log()
{
    if (s_bounded_log)
        s_bounded_log->flush();
}

void log_event(LogLevel level, char const* event, std::initializer_list<LogField> fields)
{
    if (!s_logger || !s_logger->isEnabledFor(to_level(level)))
        return;
    if (s_bounded_log && !s_bounded_log->may_write(level))
        return;
    nlohmann::ordered_json line;
    line["event"] = event;
    for (auto const& [key, value] : fields)
        line[key] = value;
    // s_pattern already contains the braces of the JSON object, so they are cut off here.
    auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    s_logger->forcedLog(to_level(level), text.substr(1, text.size() - 2));
}

}
