#pragma once

#include "core/clock.h"
#include "logging/event_log.h"
#include "logging/left_out_counts.h"
#include "logging/line_budget.h"
#include "logging/output_writer.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace monsoonlift::logging {

/// What a log may write, and where.
struct log_options {
    std::string process;         ///< Names the writer in each line.
    std::string lowest = "info"; ///< Events below it are left out: "info", "warning" or "error".
    double lines_per_second = 200;
    int descriptor = 1; ///< Standard output.
};

/// Writes events through log4cplus, one JSON object a line. What its budget or a reader who stalls does not
/// allow is counted and summed up, an event at a time, about once a second.
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

    [[nodiscard]] bool is_enabled(event_id id) const;
    [[nodiscard]] bool has_place(importance worth) const;
    void sum_up();

    const std::string m_process;
    const severity m_lowest;
    const core::clock& m_clock;

    mutable std::mutex m_mutex; ///< Guards the budget and the counts; a leaf but for the writer's queue.
    line_budget m_budget;
    left_out_counts m_left_out;
    bool m_ending = false;

    std::unique_ptr<sink> m_sink; ///< Last: its thread may call sum_up() until it is gone.
};

} // namespace monsoonlift::logging
