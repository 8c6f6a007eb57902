/// Records of non-idempotent requests at one gate: each key runs at most once here.
///
/// A record is opened before the request may be queued, and is kept after the request's end for as long as
/// callers may resend the key. The record of an ended request is removed only by time: when the table is
/// full, new keys are refused.
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
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace monsoonlift::execution {

/// Durations and size bounds of the records.
struct execution_limits {
    std::chrono::milliseconds resend_window{std::chrono::minutes(10)}; ///< How long callers resend a key.
    std::chrono::milliseconds clock_skew{10'000}; ///< Largest difference between the clocks of two VMs.
    std::size_t records = 50'000;                 ///< At this number, new keys are refused.
    std::size_t answer_bytes = 8 * 1024 * 1024;   ///< Total size of all stored answers.
    std::size_t largest_answer = 16 * 1024;       ///< A larger answer isn't stored.
};

/// Progress of a request.
enum class record_state : std::uint8_t {
    begun, ///< Not yet sent to the backend server.
    sent,  ///< Sent to the backend server, or about to be sent.
    ended  ///< Finished; `verdict` says whether it ran.
};

/// Execution record of one key.
struct execution_record {
    request_fingerprint fingerprint;
    core::attempt_id attempt;
    core::steady_time deadline;
    core::wall_time expiry;
    bool is_of_attempt =
        false; ///< The request came without a key, so only copies of its attempts can follow.
    record_state state = record_state::begun;
    core::verdict verdict = core::verdict::may_have_run; ///< Valid once the state is `ended`.
    std::shared_ptr<const stored_answer> answer;         ///< Null: no answer is stored.
};

/// An attempt on which begin() decides.
struct begin_request {
    execution_key key;
    request_fingerprint fingerprint;
    core::attempt_id attempt;
    core::steady_time deadline;
    core::wall_time expiry =
        core::wall_time::max(); ///< Deadline in the entry's wall time: an attempt that arrives
                                ///< later than this plus the clock skew was delayed in transit.
};

/// An ended request that came without a key.
struct ended_attempt {
    std::string key;
    core::steady_time latest; ///< Its record is removed then, whatever the clocks say.
};

/// All records of one gate.
struct execution_table {
    execution_limits limits;
    attempt_fence fence;
    std::unordered_map<std::string, execution_record> records;
    std::deque<std::pair<core::steady_time, std::string>> ends; ///< Finish times and keys, oldest first.
    /// Ended requests without a key, by the time at which their expiry is looked at.
    std::multimap<core::steady_time, ended_attempt> attempt_ends;
    std::size_t answer_bytes = 0; ///< Total size of the stored answers.
};

/// Returns the decision that follows from an earlier attempt with the same key or id; begin_action::run if
/// there is none.
[[nodiscard]] begin_decision recall(const execution_table& table, const begin_request& request);

/// Checks the request's expiry and deadline and the key's time of issue; begin_action::run if all are valid.
[[nodiscard]] begin_decision check_times(const execution_table& table, const begin_request& request,
                                         core::steady_time now, core::wall_time wall_now);

/// Opens the record of a key that has none; refuses if the table is full.
[[nodiscard]] begin_decision open_record(execution_table& table, const begin_request& request);

/// Marks a request as sent; call it right before sending. Returns false if the request must not be sent: its
/// deadline has passed (the request is then abandoned), or it has no record in the state `begun`.
[[nodiscard]] bool mark_sent(execution_table& table, const std::string& key, core::steady_time now);

/// Removes the record of a request that was not sent: the key may run again, this attempt is refused
/// permanently.
void abandon(execution_table& table, const std::string& key);

/// Records that the request ran. Its answer is stored unless it exceeds one of the size bounds.
void finish_ran(execution_table& table, const std::string& key, stored_answer answer, core::steady_time now);

/// Records that the request was sent and got no complete answer. `verdict` is `ran` if a part of the answer
/// arrived, else `may_have_run`.
void finish_without_answer(execution_table& table, const std::string& key, core::verdict verdict,
                           core::steady_time now);

/// Removes the record of a request that the backend server itself reported as not run: the key may run again,
/// this attempt is refused permanently.
void finish_not_run(execution_table& table, const std::string& key);

/// Removes records and refused attempts whose retention time has passed. Without a key a record goes when
/// its attempt has expired by both clocks; from then on the fence refuses every copy of the attempt.
void expire(execution_table& table, core::steady_time now, core::wall_time wall_now);

/// Returns how long the record of a key is kept after the request has ended.
[[nodiscard]] std::chrono::milliseconds retention(const execution_limits& limits);

} // namespace monsoonlift::execution
