#include "quota/shards.h"

#include "quota/quota_rules.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace monsoonlift::quota {

namespace {

/// Members that may contend for one shard.
constexpr std::size_t most_candidates = 2;

void ask_another(shard_route& route) {
    route.turn += route.holder ? 0 : 1;
    route.holder.reset();
}

std::uint64_t weight_of(std::uint32_t shard, const std::string& address) {
    return XXH3_64bits_withSeed(address.data(), address.size(), shard);
}

} // namespace

std::uint32_t shard_of(std::string_view account) {
    return static_cast<std::uint32_t>(XXH3_64bits(account.data(), account.size()) % shard_count);
}

std::vector<core::endpoint_id> candidates_of(std::uint32_t shard,
                                             const std::vector<membership::member>& members) {
    std::vector<std::pair<std::uint64_t, const membership::member*>> ranked;
    for (const auto& each : members) {
        if (each.status == membership::member_status::alive && !each.draining) {
            ranked.emplace_back(weight_of(shard, each.id.address), &each);
        }
    }
    const auto count = std::min(most_candidates, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                      [](const auto& left, const auto& right) {
                          return std::tie(left.first, left.second->id) >
                                 std::tie(right.first, right.second->id);
                      });
    std::vector<core::endpoint_id> chosen;
    for (std::size_t index = 0; index < count; ++index) {
        chosen.push_back(ranked[index].second->id);
    }
    return chosen;
}

std::optional<core::endpoint_id> target_of(const shard_route& route) {
    if (route.holder) {
        return route.holder;
    }
    if (route.candidates.empty()) {
        return std::nullopt;
    }
    return route.candidates[route.turn % route.candidates.size()];
}

void note_holder(shard_route& route, const core::endpoint_id& from) {
    route.holder = from;
}

bool note_not_holder(shard_route& route, const core::endpoint_id& from, const core::endpoint_id& holder) {
    const auto asked = target_of(route);
    if (asked && *asked != from) {
        return false;
    }
    if (!holder.address.empty() && holder != from) {
        route.holder = holder;
        return true;
    }
    ask_another(route);
    return false;
}

void note_silence(shard_route& route, const core::endpoint_id& to) {
    if (target_of(route) == to) {
        ask_another(route);
    }
}

} // namespace monsoonlift::quota
