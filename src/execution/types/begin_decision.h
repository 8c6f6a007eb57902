#pragma once

#include "core/types/call_ids.h"
#include "core/types/verdict.h"
#include "execution/types/stored_answer.h"

#include <cstdint>
#include <memory>

namespace monsoonlift::execution {

/// What a gate does with an attempt at a non-idempotent request.
enum class begin_action : std::uint8_t {
    run,    ///< Run it: mark_sent() right before the effect, then finish(); or abandon().
    replay, ///< It ran before; its answer is `answer`.
    refuse, ///< Answer `verdict` with the problem that `reason` names.
    drop    ///< A second copy of an attempt that is being served: answer nothing.
};

/// Why an attempt is refused.
enum class begin_reason : std::uint8_t {
    none,
    repeated_attempt, ///< A late copy of an attempt that was answered not_run; it won't run.
    stale_attempt,    ///< So late a copy that its answer is forgotten.
    key_conflict,     ///< The key belongs to a request with other content.
    already_running,  ///< The same key is running now: resend later for its answer.
    outcome_unknown,  ///< The same key was sent to the backend server, which gave no whole answer.
    answer_not_kept,  ///< The same key ran; its answer was too large to keep.
    held_up,          ///< The copy arrived long after its deadline.
    deadline_passed,
    invalid_date,  ///< The key's time of issue lies in the future.
    key_too_old,   ///< Issued before the time that records are kept.
    seen_before,   ///< An earlier home of the key's slot may have run it.
    wrong_home,    ///< Another gate is the key's home: `home`.
    home_unknown,  ///< The table of homes has not been read yet, or the slot has no home.
    home_changing, ///< The slot is being handed over.
    gate_gone,     ///< The permit's gate is an earlier life of this address.
    table_full
};

/// True if the gate isn't the key's home, so that its not_run is about the attempt alone: the entry tries the
/// home and never passes this verdict on to the caller.
[[nodiscard]] constexpr bool is_about_home(begin_reason reason) {
    return reason == begin_reason::wrong_home || reason == begin_reason::home_unknown ||
           reason == begin_reason::home_changing;
}

/// The decision on one attempt.
struct begin_decision {
    begin_action action = begin_action::run;
    begin_reason reason = begin_reason::none;
    core::verdict verdict = core::verdict::not_run;
    core::endpoint_id home;          ///< With wrong_home; no address if nobody holds the slot.
    std::uint64_t homes_version = 0; ///< Version of the table of homes that `home` is from.
    std::shared_ptr<const stored_answer> answer;
};

} // namespace monsoonlift::execution
