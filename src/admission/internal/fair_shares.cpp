#include "admission/fair_shares.h"

#include "admission/types/shed_level.h"

#include <algorithm>
#include <cmath>

namespace monsoonlift::admission {

namespace {

/// Time over which demands are smoothed.
constexpr std::chrono::seconds smoothing_time{4};

/// An account without calls for this long is forgotten; its demand has fallen to less than a tenth.
constexpr std::chrono::seconds idle_time{10};

/// How often the demands in force are derived from the estimates.
constexpr std::chrono::milliseconds renewal_interval{100};

/// Number of values that the hash of a root id has when it is used as a number from 0 to 1.
constexpr std::uint32_t hash_values = 1U << 20U;

double current(const demand_estimate& estimate, core::steady_time now) {
    const std::chrono::duration<double> age = now - estimate.updated;
    return estimate.per_second * std::exp(-age / std::chrono::duration<double>(smoothing_time));
}

/// Counts a call; false if there is no room for its account.
bool count_call(class_demands& demands, const std::string& account, core::steady_time now) {
    if (demands.own.size() >= most_accounts && !demands.own.contains(account)) {
        return false;
    }
    auto& estimate = demands.own[account];
    const double added = 1 / std::chrono::duration<double>(smoothing_time).count();
    estimate = {current(estimate, now) + added, now};
    return true;
}

void renew(class_demands& demands, const fleet_demands& fleet, core::class_rank rank, core::steady_time now) {
    demands.renewed = now;
    std::erase_if(demands.own, [now](const auto& entry) { return now - entry.second.updated > idle_time; });
    demands.in_force.clear();
    const auto known = fleet ? fleet(rank) : std::vector<account_rate>();
    for (const auto& [account, per_second] : known) {
        demands.in_force[account] = per_second;
    }
    for (const auto& [account, estimate] : demands.own) {
        demands.in_force.try_emplace(account, current(estimate, now));
    }
    demands.values.clear();
    for (const auto& [account, per_second] : demands.in_force) {
        demands.values.push_back(per_second);
    }
}

} // namespace

std::uint32_t fair_position(const core::root_id& root, double demand, const std::vector<double>& demands) {
    double total = 0;
    for (const double other : demands) {
        total += other;
    }
    if (total <= 0) {
        return core::bucket_of(root, root_buckets);
    }
    const double hash = (core::bucket_of(root, hash_values) + 0.5) / hash_values;
    const double level = hash * demand;
    double below = 0;
    for (const double other : demands) {
        below += std::min(other, level);
    }
    return std::min(static_cast<std::uint32_t>(root_buckets * below / total), root_buckets - 1);
}

void place_call(demand_estimator& estimator, core::call_context& context, core::steady_time now) {
    if (context.account.empty() || context.depth > 0) {
        return;
    }
    auto& demands = estimator.by_rank[context.rank];
    const bool is_counted = count_call(demands, context.account, now);
    const bool is_new = is_counted && !demands.in_force.contains(context.account);
    if (is_new || now - demands.renewed >= renewal_interval) {
        renew(demands, estimator.fleet, context.rank, now);
    }
    const auto found = demands.in_force.find(context.account);
    if (found != demands.in_force.end()) {
        context.position = fair_position(context.root, found->second, demands.values);
    }
}

} // namespace monsoonlift::admission
