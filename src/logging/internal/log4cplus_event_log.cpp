#include "logging/log4cplus_event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "logging/event_format.h"

namespace monsoonlift::logging {

namespace {

log4cplus::LogLevel level_of(severity level) {
    switch (level) {
    case severity::info:
        return log4cplus::INFO_LOG_LEVEL;
    case severity::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case severity::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::LogLevel parse_level(const std::string& text) {
    if (text == "error") {
        return log4cplus::ERROR_LOG_LEVEL;
    }
    if (text == "warning") {
        return log4cplus::WARN_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

struct log4cplus_event_log::sink {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
};

log4cplus_event_log::log4cplus_event_log(const std::string& process, const std::string& lowest)
    : m_sink(std::make_unique<sink>()), m_process(process) {
    constexpr bool to_standard_error = true;
    constexpr bool flush_each_line = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(to_standard_error, flush_each_line));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%d{%Y-%m-%dT%H:%M:%S.%q} %m%n"));
    m_sink->logger = log4cplus::Logger::getInstance("monsoonlift");
    m_sink->logger.removeAllAppenders();
    m_sink->logger.addAppender(appender);
    m_sink->logger.setLogLevel(parse_level(lowest));
}

log4cplus_event_log::~log4cplus_event_log() = default;

void log4cplus_event_log::write(event_id id, std::initializer_list<field> fields) {
    const event_description* entry = describe(id);
    const log4cplus::LogLevel level = entry == nullptr ? log4cplus::ERROR_LOG_LEVEL : level_of(entry->level);
    if (!m_sink->logger.isEnabledFor(level)) {
        return;
    }
    m_sink->logger.forcedLog(level, format_event(id, m_process, fields));
}

} // namespace monsoonlift::logging
