#pragma once

#include "core/clock.h"
#include "logging/event_log.h"
#include "logging/left_out_counts.h"
#include "logging/line_budget.h"
#include "logging/output_writer.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace monsoonlift::logging {

/// Options of a log4cplus_event_log.
struct log_options {
    std::string process;         ///< Name of this process in each line.
    std::string lowest = "info"; ///< Lowest severity written, besides notices: "info", "warning", "error".
    double lines_per_second = 200;
    int descriptor = 1; ///< File descriptor to write to; by default standard output.
};

/// Writes events through log4cplus, one JSON object per line. Lines dropped because of the line budget or a
/// stalled reader are counted; about once per second, one line reports their number for each event.
class log4cplus_event_log final : public event_log {
public:
    log4cplus_event_log(const log_options& options, const core::clock& clock);
    log4cplus_event_log(const log4cplus_event_log&) = delete;
    log4cplus_event_log& operator=(const log4cplus_event_log&) = delete;
    ~log4cplus_event_log() override;

    void write(event_id id, std::initializer_list<field> fields) override;
    [[nodiscard]] bool wants(event_id id) override;
    [[nodiscard]] std::uint64_t left_out() const override;

private:
    struct sink;

    void write_line(event_id id, std::initializer_list<field> fields);
    [[nodiscard]] bool is_enabled(event_id id) const;
    [[nodiscard]] bool has_queue_room(importance line_importance) const;
    void report_left_out();

    const std::string m_process;
    const severity m_lowest;
    const core::clock& m_clock;

    mutable std::mutex m_mutex; ///< Guards the budget and the counts; a leaf in the lock order except
                                ///< for the writer's queue.
    line_budget m_budget;
    left_out_counts m_left_out;
    bool m_ending = false;
    std::atomic<std::uint64_t> m_failed_lines = 0; ///< Lines that an internal error kept from being written.

    /// Last member: its thread may call report_left_out() until it is destroyed.
    std::unique_ptr<sink> m_sink;
};

} // namespace monsoonlift::logging
