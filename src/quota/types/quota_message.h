#pragma once

#include "core/types/call_ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace monsoonlift::quota {

/// What an entry asks for one account.
struct account_ask {
    std::string account;
    std::uint32_t needed = 0;  ///< Calls that wait.
    std::uint32_t ahead = 0;   ///< Tokens for calls that are expected.
    std::uint32_t arrived = 0; ///< Calls that arrived since the last message.
};

/// Tokens that an entry gives back unused.
struct returned_lot {
    std::string account;
    std::uint64_t sequence = 0; ///< Of the request that they were granted to.
    std::uint32_t tokens = 0;
};

/// Request of an entry to the owner of a shard, for several accounts.
struct ask_message {
    std::uint32_t shard = 0;
    std::uint64_t sequence = 0; ///< Increases with each request of the entry's incarnation.
    std::vector<account_ask> asks;
    std::vector<returned_lot> returned;
};

/// Answer for one account.
struct account_grant {
    std::string account;
    std::uint32_t tokens = 0;
    bool refused = false; ///< Fewer tokens than calls wait, as the limit is reached.
    std::chrono::milliseconds retry_after{0};
    double demand = 0; ///< Of the account over the fleet, in calls a second.
};

/// Demand of one account over the fleet, in calls a second.
struct demand_report {
    std::string account;
    double demand = 0;
};

/// Answer to an ask_message.
struct grant_message {
    std::uint32_t shard = 0;
    std::uint64_t sequence = 0; ///< Of the request.
    bool holds = false;         ///< The sender holds the lease of the shard.
    std::vector<account_grant> grants;
    std::vector<demand_report> demands;
    core::endpoint_id holder; ///< Known to a sender that does not hold the lease; empty address if none.
};

using quota_message = std::variant<ask_message, grant_message>;

} // namespace monsoonlift::quota
