/// The entry's side of quotas: tokens held for each account, calls that wait for one, and what to ask the
/// owners for. Free functions over plain structs; times are given.
#pragma once

#include "core/clock.h"
#include "quota/token_bucket.h"
#include "quota/types/quota_message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonlift::quota {

/// A token that a call has taken.
struct taken_token {
    std::string account; ///< Empty if the account has no limit.
    std::uint64_t sequence = 0;
    core::boot_time expires;
};

/// Why a call may or may not run.
struct token_decision {
    enum class outcome : std::uint8_t {
        granted,
        limited,   ///< The owner said that the account's limit is reached.
        no_answer, ///< No owner answered in time.
        waits      ///< The decision follows.
    } what = outcome::granted;
    taken_token token;
    std::chrono::milliseconds retry_after{0};
    double demand = 0;        ///< Of the account over the fleet, as the owner that refused it said.
    std::uint64_t waiter = 0; ///< Identifies a call that waits.
};

/// Tokens that one request brought.
struct token_lot {
    std::uint64_t sequence = 0;
    std::uint32_t tokens = 0;
    core::boot_time received; ///< When the request was sent, from which on their lifetime counts.
};

/// A call that waits for a token.
struct waiting_call {
    std::uint64_t id = 0;
    core::boot_time until;
};

/// State of one account at an entry.
struct account_tokens {
    std::uint32_t shard = 0;
    std::vector<token_lot> lots; ///< Oldest first.
    std::deque<waiting_call> waiting;
    std::uint32_t asked = 0; ///< Waiting calls that requests in progress ask for.
    demand_meter demand;     ///< At this entry.
    std::uint32_t unreported = 0;
    core::boot_time refused_until = core::boot_time::min(); ///< By the owner's last answer.
    double fleet_demand = 0;                                ///< The same.
    std::uint64_t taken = 0;
    std::uint64_t limited = 0;
    std::uint64_t unanswered = 0;
};

/// A request without an answer yet.
struct pending_ask {
    ask_message message;
    core::endpoint_id to;
    core::boot_time sent;
    bool is_overdue = false; ///< Its calls are asked for again; its tokens still count.
};

/// State of an entry.
struct held_tokens {
    std::map<std::string, account_tokens, std::less<>> accounts;
    std::vector<pending_ask> pending;
    std::uint64_t last_sequence = 0;
    std::uint64_t last_waiter = 0;
};

/// A waiting call whose decision is known.
struct settled_call {
    std::uint64_t waiter = 0;
    token_decision decision;
};

/// Sets the accounts with limits. Returns the calls that need not wait any more.
[[nodiscard]] std::vector<settled_call> set_accounts(held_tokens& entry, const account_limits& limits);

/// Decides about a call that arrives now and waits at most until `until`.
[[nodiscard]] token_decision take(held_tokens& entry, std::string_view account, core::boot_time now,
                                  core::boot_time until);

/// Gives back the token of a call that did not run.
void give_back(held_tokens& entry, const taken_token& token, core::boot_time now);

/// Returns the request for the calls that wait at `account` and were not asked for; no asks if there are
/// none.
[[nodiscard]] ask_message ask_for_waiting(held_tokens& entry, std::string_view account, core::boot_time now);

/// Returns the request to a shard that reports demand, asks in advance and returns unused tokens; without
/// asks and returns if there is nothing to say.
[[nodiscard]] ask_message ask_ahead(held_tokens& entry, std::uint32_t shard, core::boot_time now);

/// Notes that the request was sent to `to` now.
void note_sent(held_tokens& entry, ask_message message, const core::endpoint_id& to, core::boot_time now);

/// Handles an answer from `from`. Ignores one that is not for a request in progress to that daemon, so that
/// repeats and answers to an earlier incarnation bring no tokens.
[[nodiscard]] std::vector<settled_call> take_answer(held_tokens& entry, const core::endpoint_id& from,
                                                    const grant_message& received, core::boot_time now);

/// Returns the decisions of the calls that have waited long enough.
[[nodiscard]] std::vector<settled_call> expire_waiting(held_tokens& entry, core::boot_time now);

/// Marks the requests without an answer for answer_patience and returns the daemons that did not answer, with
/// the shard of each.
[[nodiscard]] std::vector<std::pair<std::uint32_t, core::endpoint_id>> find_overdue(held_tokens& entry,
                                                                                    core::boot_time now);

/// Whether calls wait at the shard for which no request is in progress.
[[nodiscard]] bool has_unasked(const held_tokens& entry, std::uint32_t shard);

/// Tokens of the account that a call could take now.
[[nodiscard]] std::uint32_t tokens_of(const account_tokens& account, core::boot_time now);

} // namespace monsoonlift::quota
