#pragma once

#include "core/types/call_context.h"
#include "core/types/verdict.h"
#include "routing/routing_table.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace monsoonlift::model::internal {

/// How a call or an attempt ended.
struct call_answer {
    bool whole = false;
    core::verdict run = core::verdict::not_run;
    bool shed = false;
    std::uint32_t spent = 0; ///< Attempts spent below.
    std::optional<routing::load_report> report = std::nullopt;
};

/// Cancels a call that was sent.
using cancel_function = std::function<void()>;

/// Receives the answer, once.
using answer_handler = std::function<void(const call_answer&)>;

/// One attempt on its way to a gate and back; both sides hold it.
struct attempt {
    core::call_context context;
    answer_handler answer;
    bool cancelled = false;
    std::function<void()> on_cancel; ///< Set while a backend server runs it.
};

using attempt_ptr = std::shared_ptr<attempt>;

} // namespace monsoonlift::model::internal
