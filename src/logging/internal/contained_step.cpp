#include "logging/contained_step.h"

#include "core/contain.h"

#include <string>

namespace monsoonlift::logging {

void report_failure(event_log& log, const failed_work& work, const std::exception_ptr& failure) noexcept {
    try {
        log.write(event_id::handler_failed,
                  {{"work", std::string(work.what)},
                   {"why", core::describe(failure)},
                   {"root", work.root ? core::to_string(*work.root) : ""},
                   {"attempt", work.attempt ? core::to_string(*work.attempt) : ""}});
    } catch (...) {
        // The memory that the line needs may be what is missing.
        return;
    }
}

} // namespace monsoonlift::logging
