#include "quota/token_bucket.h"

#include "quota/quota_rules.h"
#include "quota/shards.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace monsoonlift::quota {

namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

/// Bounds of the time for which an entry that was refused does not ask again while demand exceeds the limit.
constexpr std::chrono::milliseconds shortest_pause = 10ms;
constexpr std::chrono::milliseconds longest_pause = 100ms;

/// Silence after which an entry is forgotten.
constexpr std::chrono::seconds entry_memory = 10s;

double lifetime_allowance(const accounts::account_limit& limit) {
    return limit.rate_per_second * seconds(token_lifetime).count();
}

void forget_expired(token_bucket& bucket, core::boot_time now) {
    while (!bucket.lots.empty() && now - bucket.lots.front().granted > token_lifetime) {
        bucket.outstanding -= bucket.lots.front().tokens;
        bucket.lots.pop_front();
    }
    if (bucket.lots.empty()) {
        bucket.outstanding = 0;
    }
}

void clamp_level(token_bucket& bucket) {
    const double capacity = capacity_of(bucket.limit);
    const double room = capacity + lifetime_allowance(bucket.limit) - bucket.outstanding;
    bucket.level = std::clamp(bucket.level, 0.0, std::max(0.0, std::min(capacity, room)));
}

/// Returns how long an entry that was refused should wait: until there is a token, and longer if more calls
/// come than the limit allows, so that refused calls don't cause a message each.
std::chrono::milliseconds pause_after_refusal(const token_bucket& bucket, core::boot_time now) {
    const double rate = bucket.limit.rate_per_second;
    const auto until_token =
        std::chrono::ceil<std::chrono::milliseconds>(seconds(std::max(0.0, 1 - bucket.level) / rate));
    if (demand_at(bucket.demand, now) <= rate) {
        return std::max(until_token, 1ms);
    }
    const auto half_full =
        std::chrono::ceil<std::chrono::milliseconds>(seconds(capacity_of(bucket.limit) / 2 / rate));
    return std::max(until_token, std::clamp(half_full, shortest_pause, longest_pause));
}

bool is_new(shard_owner& owner, const core::endpoint_id& entry, std::uint64_t sequence, core::boot_time now) {
    auto& known = owner.entries[entry.address];
    if (entry.life < known.life) {
        return false;
    }
    if (known.life < entry.life) {
        known = {};
        known.life = entry.life;
    }
    known.heard = now;
    if (sequence <= known.last_sequence) {
        return false;
    }
    known.last_sequence = sequence;
    return true;
}

void report_demands(shard_owner& owner, const core::endpoint_id& entry, grant_message& reply,
                    core::boot_time now) {
    auto& known = owner.entries[entry.address];
    if (known.demands_reported != core::boot_time() && now - known.demands_reported < demands_interval) {
        return;
    }
    known.demands_reported = now;
    for (const auto& [account, bucket] : owner.buckets) {
        reply.demands.push_back({account, demand_at(bucket.demand, now)});
    }
    std::erase_if(owner.entries, [now](const auto& each) { return now - each.second.heard > entry_memory; });
}

} // namespace

void count_calls(demand_meter& meter, double calls, core::boot_time now) {
    meter.calls_per_second = demand_at(meter, now) + calls / seconds(demand_smoothing).count();
    meter.as_of = std::max(meter.as_of, now);
}

double demand_at(const demand_meter& meter, core::boot_time now) {
    const double passed = std::max(0.0, seconds(now - meter.as_of).count());
    return meter.calls_per_second * std::exp(-passed / seconds(demand_smoothing).count());
}

double capacity_of(const accounts::account_limit& limit) {
    return limit.burst + extra_capacity;
}

token_bucket empty_bucket(const accounts::account_limit& limit, core::boot_time now) {
    token_bucket bucket;
    bucket.limit = limit;
    bucket.refilled = now;
    bucket.demand.as_of = now;
    return bucket;
}

void refill(token_bucket& bucket, core::boot_time now) {
    forget_expired(bucket, now);
    const double passed = std::max(0.0, seconds(now - bucket.refilled).count());
    bucket.level += passed * bucket.limit.rate_per_second;
    bucket.refilled = std::max(bucket.refilled, now);
    clamp_level(bucket);
}

account_grant grant(token_bucket& bucket, const core::endpoint_id& entry, std::uint64_t sequence,
                    const account_ask& ask, core::boot_time now) {
    refill(bucket, now);
    account_grant given{ask.account, 0, false, {}, demand_at(bucket.demand, now)};
    const auto available = static_cast<std::uint32_t>(bucket.level);
    given.tokens = std::min(ask.needed, available);
    given.refused = given.tokens < ask.needed;
    const double spare = bucket.level - given.tokens - capacity_of(bucket.limit) / 2;
    if (spare >= 1) {
        given.tokens += std::min(ask.ahead, static_cast<std::uint32_t>(spare));
    }
    if (given.tokens > 0) {
        bucket.level -= given.tokens;
        bucket.lots.push_back({entry, sequence, static_cast<double>(given.tokens), now});
        bucket.outstanding += given.tokens;
        bucket.granted += given.tokens;
    }
    if (given.refused) {
        bucket.refused += ask.needed - given.tokens;
        given.retry_after = pause_after_refusal(bucket, now);
    }
    return given;
}

void take_back(token_bucket& bucket, const core::endpoint_id& entry, const returned_lot& lot,
               core::boot_time now) {
    refill(bucket, now);
    const auto found = std::find_if(bucket.lots.rbegin(), bucket.lots.rend(), [&](const auto& known) {
        return known.sequence == lot.sequence && known.entry == entry;
    });
    if (found == bucket.lots.rend()) {
        return;
    }
    const double returned = std::min<double>(lot.tokens, found->tokens);
    found->tokens -= returned;
    bucket.outstanding -= returned;
    bucket.level += returned;
    clamp_level(bucket);
}

void change_limit(token_bucket& bucket, const accounts::account_limit& limit, core::boot_time now) {
    refill(bucket, now);
    bucket.limit = limit;
    clamp_level(bucket);
}

void set_limits(shard_owner& owner, std::uint32_t shard, const account_limits& limits, core::boot_time now) {
    std::erase_if(owner.buckets, [&](const auto& each) { return !limits.contains(each.first); });
    for (const auto& [account, limit] : limits) {
        if (shard_of(account) != shard) {
            continue;
        }
        const auto found = owner.buckets.find(account);
        if (found == owner.buckets.end()) {
            owner.buckets.emplace(account, empty_bucket(limit, now));
        } else {
            change_limit(found->second, limit, now);
        }
    }
}

grant_message answer(shard_owner& owner, const core::endpoint_id& entry, const ask_message& request,
                     core::boot_time now) {
    grant_message reply;
    reply.shard = request.shard;
    reply.sequence = request.sequence;
    reply.holds = true;
    if (!is_new(owner, entry, request.sequence, now)) {
        return reply;
    }
    for (const auto& lot : request.returned) {
        const auto found = owner.buckets.find(lot.account);
        if (found != owner.buckets.end()) {
            take_back(found->second, entry, lot, now);
        }
    }
    for (const auto& ask : request.asks) {
        const auto found = owner.buckets.find(ask.account);
        if (found != owner.buckets.end()) {
            count_calls(found->second.demand, ask.arrived, now);
            reply.grants.push_back(grant(found->second, entry, request.sequence, ask, now));
        }
    }
    report_demands(owner, entry, reply, now);
    return reply;
}

} // namespace monsoonlift::quota
