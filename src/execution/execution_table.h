/// Records of non-idempotent requests at one gate: each key runs at most once here.
///
/// A record begins before the request may wait for a slot, and stays for the time in which callers resend a
/// key, counted from its end. Time alone removes records: at the bound new keys are refused.
#pragma once

#include "core/clock.h"
#include "execution/attempt_fence.h"
#include "execution/types/begin_decision.h"
#include "execution/types/execution_key.h"
#include "execution/types/request_fingerprint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace monsoonlift::execution {

/// Times and bounds of the records.
struct execution_limits {
    std::chrono::milliseconds resend_window{std::chrono::minutes(10)}; ///< Callers resend a key this long.
    std::chrono::milliseconds clock_skew{10'000}; ///< Between the clocks of two machines.
    std::size_t records = 50'000;
    std::size_t answer_bytes = 8 * 1024 * 1024; ///< All answers kept.
    std::size_t largest_answer = 16 * 1024;
};

/// How far a request has come.
enum class record_state : std::uint8_t {
    begun, ///< Not sent to the backend server.
    sent,  ///< Sent, or about to be.
    ended  ///< Nothing more will happen; `verdict` says what is known.
};

/// What is known of one key.
struct execution_record {
    request_fingerprint fingerprint;
    core::attempt_id attempt;
    core::steady_time deadline;
    core::wall_time expiry;
    record_state state = record_state::begun;
    core::verdict verdict = core::verdict::may_have_run;
    std::shared_ptr<const stored_answer> answer;
};

/// An attempt that asks to run.
struct begin_request {
    execution_key key;
    request_fingerprint fingerprint;
    core::attempt_id attempt;
    core::steady_time deadline;
    core::wall_time expiry =
        core::wall_time::max(); ///< The entry's deadline by wall time: what arrives later,
                                ///< clock skew allowed for, was held up on the way.
};

/// All records of one gate.
struct execution_table {
    execution_limits limits;
    attempt_fence fence;
    std::unordered_map<std::string, execution_record> records;
    std::deque<std::pair<core::steady_time, std::string>> ends; ///< Keys in the order in which they ended.
    std::size_t answer_bytes = 0;
};

/// The answer that earlier attempts of the same key or call already settle; begin_action::run if there is
/// none.
[[nodiscard]] begin_decision recall(const execution_table& table, const begin_request& request);

/// Checks what concerns the key alone: its time of issue and the request's deadline.
[[nodiscard]] begin_decision check_times(const execution_table& table, const begin_request& request,
                                         core::steady_time now, core::wall_time wall_now);

/// Opens the record of a key that has none, or refuses at the bound.
[[nodiscard]] begin_decision open_record(execution_table& table, const begin_request& request);

/// To be asked right before the effect: true if the request may be sent, false if its deadline has passed; it
/// then counts as abandoned.
[[nodiscard]] bool mark_sent(execution_table& table, const std::string& key, core::steady_time now);

/// The request was not sent: its key is free again, this attempt is refused for good.
void abandon(execution_table& table, const std::string& key);

/// The request ran and this is its answer; an answer over the bound isn't kept.
void finish_ran(execution_table& table, const std::string& key, stored_answer answer, core::steady_time now);

/// The request was sent and gave no whole answer: `ran` if a part of it came, else `may_have_run`.
void finish_without_answer(execution_table& table, const std::string& key, core::verdict verdict,
                           core::steady_time now);

/// The backend server itself said that it did not run the request: the key is free again.
void finish_not_run(execution_table& table, const std::string& key);

/// Forgets what is past its time.
void expire(execution_table& table, core::steady_time now, core::wall_time wall_now);

/// How long a record stays after its end.
[[nodiscard]] std::chrono::milliseconds retention(const execution_limits& limits);

} // namespace monsoonlift::execution
