#pragma once

#include "core/types/call_context.h"
#include "core/types/verdict.h"
#include "routing/routing_table.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace monsoonlift::model::internal {

/// Outcome of a call or an attempt.
struct call_answer {
    bool whole = false;
    core::verdict run = core::verdict::not_run;
    bool shed = false;
    admission::shed_level below{}; ///< Strictest threshold that the gate reports or the nested calls met.
    std::uint32_t spent = 0;       ///< Retries made by the call and its nested calls.
    std::optional<routing::load_report> report = std::nullopt;
};

/// Cancels a call that was sent.
using cancel_function = std::function<void()>;

/// Called once with the answer.
using answer_handler = std::function<void(const call_answer&)>;

/// The run that makes a call; the default stands for a caller.
struct caller_run {
    std::uint32_t calls_ended = 0; ///< Nested calls that have ended for it before.
    bool is_repeat = false;
};

/// One attempt from an entry to a gate; shared by both.
struct attempt {
    core::call_context context;
    answer_handler answer;
    bool cancelled = false;
    bool is_repeat = false;          ///< A retry, or made for a run that was itself a repeat.
    std::function<void()> on_cancel; ///< Set while a backend server runs the attempt.
};

using attempt_ptr = std::shared_ptr<attempt>;

} // namespace monsoonlift::model::internal
