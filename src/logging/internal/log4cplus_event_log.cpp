#include "logging/log4cplus_event_log.h"

#include <vector>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include "core/contain.h"
#include "logging/event_format.h"

namespace monsoonlift::logging {

namespace {

/// Maximum number of lines that wait for the reader of the log.
constexpr std::size_t queue_capacity = 2048;

/// Places in the queue that are reserved for important lines.
constexpr std::size_t reserved_places = queue_capacity / 2;

severity parse_level(const std::string& text) {
    if (text == "error") {
        return severity::error;
    }
    return text == "warning" ? severity::warning : severity::info;
}

severity severity_of(event_id id) {
    const event_description* entry = describe(id);
    return entry == nullptr ? severity::error : entry->level;
}

importance importance_of(event_id id) {
    return severity_of(id) == severity::info ? importance::routine : importance::important;
}

log4cplus::LogLevel level_of(severity level) {
    switch (level) {
    case severity::info:
    case severity::notice:
        return log4cplus::INFO_LOG_LEVEL;
    case severity::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case severity::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// Returns the logger of this process. log4cplus can't be initialized again after its shutdown, so it is shut
/// down only when the process ends.
log4cplus::Logger process_logger() {
    static const log4cplus::Initializer initializer;
    return log4cplus::Logger::getInstance("monsoonlift");
}

/// Passes lines to the output_writer, which never blocks, whereas log4cplus' AsyncAppender blocks when its
/// queue is full.
class writer_appender final : public log4cplus::Appender {
public:
    explicit writer_appender(output_writer& writer) : m_writer(writer) {}
    writer_appender(const writer_appender&) = delete;
    writer_appender& operator=(const writer_appender&) = delete;
    ~writer_appender() override { destructorImpl(); }

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override {
        // NOTE: the owner has checked under its lock that the queue has room, so push() fails only if the
        // reader has closed its end since.
        static_cast<void>(m_writer.push(event.getMessage()));
    }

private:
    output_writer& m_writer;
};

} // namespace

struct log4cplus_event_log::sink {
    sink(int descriptor, std::function<void()> idle) : writer(descriptor, queue_capacity, std::move(idle)) {
        logger.removeAllAppenders();
        logger.addAppender(log4cplus::SharedAppenderPtr(new writer_appender(writer)));
        logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    }
    sink(const sink&) = delete;
    sink& operator=(const sink&) = delete;
    ~sink() { logger.removeAllAppenders(); }

    log4cplus::Logger logger = process_logger();
    output_writer writer;
};

log4cplus_event_log::log4cplus_event_log(const log_options& options, const core::clock& clock)
    : m_process(options.process), m_lowest(parse_level(options.lowest)), m_clock(clock),
      m_budget(make_line_budget(options.lines_per_second, clock.now())) {
    const std::scoped_lock lock(m_mutex);
    m_sink = std::make_unique<sink>(options.descriptor, [this] { report_left_out(); });
}

log4cplus_event_log::~log4cplus_event_log() {
    const std::scoped_lock lock(m_mutex);
    m_ending = true;
}

void log4cplus_event_log::write(event_id id, std::initializer_list<field> fields) {
    core::contain([&] { write_line(id, fields); }, [this](const std::string&) { ++m_failed_lines; });
}

void log4cplus_event_log::write_line(event_id id, std::initializer_list<field> fields) {
    if (!is_enabled(id)) {
        return;
    }
    const auto line = format_event(m_clock.wall_now(), id, m_process, {fields.begin(), fields.size()});
    const auto line_importance = importance_of(id);
    const std::scoped_lock lock(m_mutex);
    if (!has_queue_room(line_importance) || !take_line(m_budget, line_importance, m_clock.now())) {
        m_left_out.add(id);
        return;
    }
    m_sink->logger.forcedLog(level_of(severity_of(id)), line);
}

bool log4cplus_event_log::wants(event_id id) {
    if (!is_enabled(id)) {
        return false;
    }
    const auto line_importance = importance_of(id);
    const std::scoped_lock lock(m_mutex);
    const bool is_written =
        has_queue_room(line_importance) && has_room(m_budget, line_importance, m_clock.now());
    if (!is_written) {
        m_left_out.add(id);
    }
    return is_written;
}

std::uint64_t log4cplus_event_log::left_out() const {
    const std::scoped_lock lock(m_mutex);
    return m_left_out.total() + m_failed_lines + m_sink->writer.failures();
}

bool log4cplus_event_log::is_enabled(event_id id) const {
    const auto level = severity_of(id);
    return level == severity::notice || level >= m_lowest;
}

bool log4cplus_event_log::has_queue_room(importance line_importance) const {
    return m_sink->writer.has_room(line_importance == importance::routine ? reserved_places : 0);
}

void log4cplus_event_log::report_left_out() {
    const std::scoped_lock lock(m_mutex);
    if (m_ending || m_left_out.empty() || !has_queue_room(importance::important)) {
        return;
    }
    std::vector<field> counts;
    for (const auto& [id, count] : m_left_out.take()) {
        const auto* entry = describe(id);
        counts.push_back({entry == nullptr ? "unknown" : entry->name, std::to_string(count)});
    }
    const auto line = format_event(m_clock.wall_now(), event_id::lines_left_out, m_process, counts);
    m_sink->logger.forcedLog(log4cplus::INFO_LOG_LEVEL, line);
}

} // namespace monsoonlift::logging
