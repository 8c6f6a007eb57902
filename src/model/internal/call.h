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
    std::uint32_t spent = 0; ///< Retries made by the call and its nested calls.
    std::optional<routing::load_report> report = std::nullopt;
};

/// Cancels a call that was sent.
using cancel_function = std::function<void()>;

/// Called once with the answer.
using answer_handler = std::function<void(const call_answer&)>;

/// One attempt from an entry to a gate; shared by both.
struct attempt {
    core::call_context context;
    answer_handler answer;
    bool cancelled = false;
    std::function<void()> on_cancel; ///< Set while a backend server runs the attempt.
};

using attempt_ptr = std::shared_ptr<attempt>;

} // namespace monsoonlift::model::internal
