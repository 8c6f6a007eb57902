/// The owner's side of quotas: one token bucket for each account of a shard. Free functions over plain
/// structs; times are given.
///
/// In any window of W seconds at most capacity + rate x (W + token_lifetime) tokens are used. Tokens in the
/// bucket together with those granted within token_lifetime and not returned never exceed
/// capacity + rate x token_lifetime, and only tokens granted within that time are taken back. Without returns
/// the first holds by itself; it is enforced so that tokens which are returned and granted again in turn
/// don't let the bucket fill beside them.
#pragma once

#include "accounts/types/account.h"
#include "core/clock.h"
#include "quota/types/quota_message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace monsoonlift::quota {

/// Tokens granted to one request and not returned.
struct granted_lot {
    core::endpoint_id entry;
    std::uint64_t sequence = 0; ///< Of the request.
    double tokens = 0;
    core::boot_time granted;
};

/// Calls a second, smoothed exponentially over demand_smoothing.
struct demand_meter {
    double calls_per_second = 0;
    core::boot_time as_of;
};

/// Counts calls that arrived.
void count_calls(demand_meter& meter, double calls, core::boot_time now);

/// Returns the smoothed demand.
[[nodiscard]] double demand_at(const demand_meter& meter, core::boot_time now);

/// State of one account at the owner of its shard.
struct token_bucket {
    accounts::account_limit limit;
    double level = 0;
    core::boot_time refilled;
    std::deque<granted_lot> lots; ///< Of the last token_lifetime, oldest first.
    double outstanding = 0;       ///< Sum of `lots`.
    demand_meter demand;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0; ///< Calls that were told that there is no token.
};

/// Largest number of tokens in the bucket of an account with this limit.
[[nodiscard]] double capacity_of(const accounts::account_limit& limit);

/// An empty bucket.
[[nodiscard]] token_bucket empty_bucket(const accounts::account_limit& limit, core::boot_time now);

/// Adds the tokens of the time that has passed.
void refill(token_bucket& bucket, core::boot_time now);

/// Grants tokens to a request of `entry`: for calls that wait as far as there are any, and in advance while
/// half of the capacity is left.
[[nodiscard]] account_grant grant(token_bucket& bucket, const core::endpoint_id& entry,
                                  std::uint64_t sequence, const account_ask& ask, core::boot_time now);

/// Takes back tokens of a grant. Ignores those that were not granted to this entry by that request, or no
/// longer are valid.
void take_back(token_bucket& bucket, const core::endpoint_id& entry, const returned_lot& lot,
               core::boot_time now);

/// Applies a changed limit; tokens beyond the new capacity are dropped.
void change_limit(token_bucket& bucket, const accounts::account_limit& limit, core::boot_time now);

/// Requests received from one entry.
struct entry_record {
    core::incarnation life;
    std::uint64_t last_sequence = 0;
    core::boot_time heard;
    core::boot_time demands_reported;
};

/// State of the owner of one shard, empty at the start of each tenure.
struct shard_owner {
    std::map<std::string, token_bucket> buckets; ///< By account.
    std::map<std::string, entry_record> entries; ///< By transport address.
};

using account_limits = std::map<std::string, accounts::account_limit>;

/// Sets the limits of the shard's accounts; buckets that are new begin empty.
void set_limits(shard_owner& owner, std::uint32_t shard, const account_limits& limits, core::boot_time now);

/// Handles a request. Returns an answer without grants if the request is a repeat, was overtaken by a later
/// one, or is of an earlier incarnation.
[[nodiscard]] grant_message answer(shard_owner& owner, const core::endpoint_id& entry,
                                   const ask_message& request, core::boot_time now);

} // namespace monsoonlift::quota
