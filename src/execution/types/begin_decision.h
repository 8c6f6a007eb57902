#pragma once

#include "core/types/call_ids.h"
#include "core/types/verdict.h"
#include "execution/types/stored_answer.h"

#include <cstdint>
#include <memory>

namespace monsoonlift::execution {

/// What a gate does with an attempt of a non-idempotent request.
enum class begin_action : std::uint8_t {
    run,    ///< Run it: mark_sent() right before sending, then a finish function; or abandon().
    replay, ///< The request has already run: send the stored `answer`.
    refuse, ///< Answer with `verdict` and the problem type for `reason`.
    drop    ///< A duplicate of an attempt that is in progress: send no answer.
};

/// Why an attempt is refused.
enum class begin_reason : std::uint8_t {
    none,
    repeated_attempt, ///< A late copy of an attempt that was answered not_run.
    stale_attempt,    ///< A copy so late that the record of its attempt may have been removed.
    key_conflict,     ///< The key was used for a request with different content.
    already_running,  ///< A request with the same key is in progress: resend later for its answer.
    outcome_unknown,  ///< The same key was sent to the backend server and got no complete answer.
    answer_not_kept,  ///< The same key ran, but its answer was too large to store.
    held_up,          ///< The attempt arrived after its deadline by more than the clock skew.
    deadline_passed,
    invalid_date,  ///< The key's time of issue is in the future by more than the clock skew.
    key_too_old,   ///< The key was issued longer ago than the resend window.
    seen_before,   ///< An earlier holder of the key's slot may have run the key.
    wrong_home,    ///< Another gate, `home`, is the key's home.
    home_unknown,  ///< The home table has not been read yet, or the key's slot is free.
    home_changing, ///< A pending write hands the key's slot over.
    gate_gone,     ///< The permit names another incarnation of this gate's address.
    table_full
};

/// True if the gate refuses because it isn't, or may not be, the key's home, so that its not_run holds for
/// this attempt only, not for the key: the entry tries the home and never forwards this verdict to the
/// caller.
[[nodiscard]] constexpr bool is_about_home(begin_reason reason) {
    return reason == begin_reason::wrong_home || reason == begin_reason::home_unknown ||
           reason == begin_reason::home_changing;
}

/// What a gate does with one attempt, and why.
struct begin_decision {
    begin_action action = begin_action::run;
    begin_reason reason = begin_reason::none;
    core::verdict verdict = core::verdict::not_run;
    core::endpoint_id home;          ///< Set for `wrong_home` only; empty address: the slot is free.
    std::uint64_t homes_version = 0; ///< Version of the gate's home table, from which `home` is taken.
    std::shared_ptr<const stored_answer> answer; ///< Set for `replay` only.
};

} // namespace monsoonlift::execution
