/// Runs the steps that must each be tried whatever becomes of the others, such as those that end a call.
#pragma once

#include "core/types/call_ids.h"
#include "logging/event_log.h"

#include <exception>
#include <optional>
#include <string_view>
#include <utility>

namespace monsoonlift::logging {

/// The piece of work that an internal error ended.
struct failed_work {
    std::string_view what;
    std::optional<core::attempt_id> attempt = {};
    std::optional<core::root_id> root = {};
};

/// Writes that an internal error ended that work; the line is left out if it can't be written.
void report_failure(event_log& log, const failed_work& work, const std::exception_ptr& failure) noexcept;

/// Runs `step`; if an exception leaves it, reports it and returns false.
template <class Step> bool contain(event_log& log, const failed_work& work, Step&& step) noexcept {
    try {
        std::forward<Step>(step)();
        return true;
    } catch (...) {
        report_failure(log, work, std::current_exception());
        return false;
    }
}

} // namespace monsoonlift::logging
