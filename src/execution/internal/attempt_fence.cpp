#include "execution/attempt_fence.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::execution {

namespace {

constexpr std::size_t covered_share = 4;  // One in this many of an origin's attempts is covered at a time.
constexpr std::size_t capacity_slack = 4; // Capacity above this multiple of the size is freed.

bool is_before(const refused_attempt& left, const refused_attempt& right) {
    return std::pair(left.call, left.attempt) < std::pair(right.call, right.attempt);
}

void drop_first_expiring_origin(attempt_fence& fence) {
    const auto first =
        std::min_element(fence.origins.begin(), fence.origins.end(), [](const auto& left, const auto& right) {
            return left.second.latest < right.second.latest;
        });
    fence.horizon = std::max(fence.horizon, first->second.latest);
    fence.attempts -= first->second.refused.size();
    fence.origins.erase(first);
}

void cover_oldest_of_largest_origin(attempt_fence& fence) {
    const auto largest =
        std::max_element(fence.origins.begin(), fence.origins.end(), [](const auto& left, const auto& right) {
            return left.second.refused.size() < right.second.refused.size();
        });
    origin_fence& origin = largest->second;
    const std::uint64_t last = origin.refused[origin.refused.size() / covered_share].call;
    origin.covered = last;
    fence.attempts -=
        std::erase_if(origin.refused, [&](const refused_attempt& one) { return one.call <= last; });
}

void insert(attempt_fence& fence, origin_fence& origin, const refused_attempt& added) {
    const auto place = std::lower_bound(origin.refused.begin(), origin.refused.end(), added, is_before);
    if (place != origin.refused.end() && !is_before(added, *place)) {
        place->expiry = std::max(place->expiry, added.expiry);
        return;
    }
    origin.refused.insert(place, added);
    ++fence.attempts;
}

void drop_expired(attempt_fence& fence, origin_fence& origin, core::wall_time limit) {
    fence.attempts -= std::erase_if(origin.refused, [&](const refused_attempt& one) {
        const bool is_past = one.expiry < limit;
        fence.horizon = is_past ? std::max(fence.horizon, one.expiry) : fence.horizon;
        return is_past;
    });
    if (origin.refused.size() * capacity_slack < origin.refused.capacity()) {
        origin.refused.shrink_to_fit();
    }
}

} // namespace

void refuse(attempt_fence& fence, const core::attempt_id& attempt, core::wall_time expiry) {
    if (!fence.origins.contains(attempt.origin) && fence.origins.size() >= fence.most_origins) {
        drop_first_expiring_origin(fence);
    }
    if (expiry <= fence.horizon) {
        return;
    }
    origin_fence& origin = fence.origins[attempt.origin];
    origin.latest = std::max(origin.latest, expiry);
    if (attempt.call <= origin.covered) {
        return;
    }
    insert(fence, origin, {attempt.call, attempt.attempt, expiry});
    while (fence.attempts > fence.most_attempts) {
        cover_oldest_of_largest_origin(fence);
    }
}

void cover(attempt_fence& fence, core::wall_time expiry) {
    fence.horizon = std::max(fence.horizon, expiry);
}

fence_state check(const attempt_fence& fence, const core::attempt_id& attempt, core::wall_time expiry) {
    const fence_state otherwise = expiry <= fence.horizon ? fence_state::stale : fence_state::open;
    const auto found = fence.origins.find(attempt.origin);
    if (found == fence.origins.end()) {
        return otherwise;
    }
    const origin_fence& origin = found->second;
    const refused_attempt searched{attempt.call, attempt.attempt, expiry};
    if (std::binary_search(origin.refused.begin(), origin.refused.end(), searched, is_before)) {
        return fence_state::refused;
    }
    return attempt.call <= origin.covered ? fence_state::stale : otherwise;
}

void expire(attempt_fence& fence, core::wall_time wall_now, std::chrono::milliseconds clock_skew) {
    const core::wall_time limit = wall_now - 2 * clock_skew;
    for (auto next = fence.origins.begin(); next != fence.origins.end();) {
        origin_fence& origin = next->second;
        drop_expired(fence, origin, limit);
        if (origin.latest < limit) {
            // NOTE: from now on the horizon refuses the calls that `covered` of this origin refused.
            fence.horizon = std::max(fence.horizon, origin.latest);
            next = fence.origins.erase(next);
        } else {
            ++next;
        }
    }
}

} // namespace monsoonlift::execution
