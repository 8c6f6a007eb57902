/// Max-min fair shares among client accounts: an account that demands less than its share is not refused
/// because of a larger one. Sets the positions of root calls, so that every hop decides alike.
#pragma once

#include "core/clock.h"
#include "core/types/call_context.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonlift::admission {

/// Demand of one account, in root calls per second.
struct account_rate {
    std::string account;
    double per_second = 0;
};

/// Returns the position of a root call of an account with this demand, in [0, root_buckets). With u the hash
/// of the root id as a number from 0 to 1 and x = u * demand, it is proportional to the sum of min(d, x) over
/// the demands d of all accounts. A threshold at any position then admits min(demand, share) of each account.
/// `demands` includes the account's own; if their sum is 0, the position follows from the root id.
[[nodiscard]] std::uint32_t fair_position(const core::root_id& root, double demand,
                                          const std::vector<double>& demands);

/// Supplies the demand of accounts over the whole fleet; an empty result means that it is not known. The
/// demands that one daemon sees stand for those of the fleet only if the calls of each account are spread
/// evenly.
using fleet_demands = std::function<std::vector<account_rate>(core::class_rank rank)>;

/// Demand of one account at this daemon.
struct demand_estimate {
    double per_second = 0;     ///< As of `updated`.
    core::steady_time updated; ///< Last call.
};

/// Demands of the accounts of one class.
struct class_demands {
    std::unordered_map<std::string, demand_estimate> own; ///< As seen by this daemon.
    std::unordered_map<std::string, double> in_force;     ///< As of `renewed`; those of the fleet if known.
    std::vector<double> values;                           ///< The values of `in_force`.
    core::steady_time renewed;
};

/// Demands of the accounts at one entry, by class. Bounded in number; idle accounts are forgotten.
struct demand_estimator {
    fleet_demands fleet; ///< May be empty.
    std::unordered_map<core::class_rank, class_demands> by_rank;
};

/// Most accounts for which the demand is kept, for each class. Calls of further accounts are placed by their
/// root ids until others are idle.
inline constexpr std::size_t most_accounts = 1024;

/// Records a root call in the name of an account and sets its position. Does nothing for a call that has no
/// account or that is nested, since that inherits its position.
void place_call(demand_estimator& estimator, core::call_context& context, core::steady_time now);

} // namespace monsoonlift::admission
