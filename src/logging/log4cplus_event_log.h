#pragma once

#include "logging/event_log.h"

#include <memory>
#include <string>

namespace monsoonlift::logging {

/// Writes events through log4cplus to standard error, one JSON object a line.
class log4cplus_event_log final : public event_log {
public:
    /// Events below `lowest` ("info", "warning" or "error") are left out; `process` names the writer in each
    /// line.
    log4cplus_event_log(const std::string& process, const std::string& lowest);
    log4cplus_event_log(const log4cplus_event_log&) = delete;
    log4cplus_event_log& operator=(const log4cplus_event_log&) = delete;
    ~log4cplus_event_log() override;

    void write(event_id id, std::initializer_list<field> fields) override;

private:
    struct sink;
    std::unique_ptr<sink> m_sink;
    std::string m_process;
};

} // namespace monsoonlift::logging
