#include "admission/call_queue.h"

#include "admission/shedding.h"

#include <algorithm>

namespace monsoonlift::admission {

namespace {

using class_queue = std::deque<waiting_call>;

/// Work that counts at most in order_of(): beyond it, the position differs by less than one in any case.
constexpr std::uint32_t most_counted_work = 15;

bool comes_before(const waiting_call& left, const waiting_call& right) {
    return left.order < right.order;
}

/// Longest wait as a multiple of the typical service time. Applies if it is longer than `max_wait`: when runs
/// are long, a slot is rarely freed within `max_wait`.
constexpr double longest_wait_in_runs = 0.5;

std::chrono::nanoseconds longest_wait(const call_queue& queue, std::chrono::nanoseconds typical_service) {
    const auto by_runs = std::chrono::duration_cast<std::chrono::nanoseconds>(
        longest_wait_in_runs * std::chrono::duration<double>(typical_service));
    return std::max<std::chrono::nanoseconds>(queue.max_wait, by_runs);
}

/// Share of the time between arrival and deadline for which a nested call may wait. Refusing it would waste
/// the work already done for its root call.
constexpr double nested_wait_share = 0.5;

std::chrono::nanoseconds longest_wait_of(const call_queue& queue, const waiting_call& call,
                                         std::chrono::nanoseconds typical_service) {
    const auto usual = longest_wait(queue, typical_service);
    const bool is_cheap_to_refuse = queue.order == queue_order::by_position && call.order >= root_buckets;
    if (call.depth == 0 || is_cheap_to_refuse) {
        return usual;
    }
    const auto by_time = std::chrono::duration_cast<std::chrono::nanoseconds>(
        nested_wait_share * std::chrono::duration<double>(call.deadline - call.arrived));
    return std::max(usual, by_time);
}

bool is_expired(const call_queue& queue, const waiting_call& call, std::chrono::nanoseconds typical_service,
                core::steady_time now) {
    return now - call.arrived > longest_wait_of(queue, call, typical_service) ||
           now + typical_service > call.deadline;
}

template <class Condition>
void remove_if(call_queue& queue, const Condition& unwanted, std::vector<waiting_call>& dropped) {
    for (auto& calls : queue.by_rank) {
        const auto kept_end = std::stable_partition(calls.begin(), calls.end(),
                                                    [&](const auto& call) { return !unwanted(call); });
        dropped.insert(dropped.end(), kept_end, calls.end());
        queue.length -= static_cast<std::size_t>(calls.end() - kept_end);
        calls.erase(kept_end, calls.end());
    }
}

void remove_expired(call_queue& queue, std::chrono::nanoseconds typical_service, core::steady_time now,
                    std::vector<waiting_call>& dropped) {
    const auto expired = [&](const waiting_call& call) {
        return is_expired(queue, call, typical_service, now);
    };
    remove_if(queue, expired, dropped);
}

/// Whether the threshold admits a call that has waited with queue_order::by_position.
bool still_admits(const shed_level& level, const waiting_call& call) {
    const auto position = call.order < root_buckets ? 0 : call.order - root_buckets;
    return call.rank != level.rank ? call.rank < level.rank : position < level.bucket;
}

class_queue::iterator choose_within_class(const call_queue& queue, class_queue& calls,
                                          std::chrono::nanoseconds typical_service, core::steady_time now) {
    const auto newest = std::prev(calls.end());
    switch (queue.order) {
    case queue_order::first_come:
        return calls.begin();
    case queue_order::last_come:
        return newest;
    case queue_order::adaptive:
        return now - calls.front().arrived > longest_wait(queue, typical_service) / 2 ? newest
                                                                                      : calls.begin();
    case queue_order::earliest_deadline:
        return std::min_element(calls.begin(), calls.end(), [](const auto& left, const auto& right) {
            return left.deadline < right.deadline;
        });
    case queue_order::by_position:
        return std::min_element(calls.begin(), calls.end(), comes_before);
    }
    return calls.begin();
}

/// Returns the call of the least preferred class that makes room for a new call; end() if there is none.
class_queue::iterator call_to_replace(const call_queue& queue, class_queue& calls,
                                      const waiting_call& fresh) {
    if (calls.front().rank > fresh.rank) {
        return queue.order == queue_order::by_position
                   ? std::max_element(calls.begin(), calls.end(), comes_before)
                   : calls.begin();
    }
    if (queue.order != queue_order::by_position) {
        return calls.end();
    }
    const auto last = std::max_element(calls.begin(), calls.end(), comes_before);
    return comes_before(fresh, *last) ? last : calls.end();
}

/// Rank of the least preferred class with waiting calls, or the number of classes if no call is waiting.
std::size_t least_preferred_class(const call_queue& queue) {
    for (std::size_t rank = queue.by_rank.size(); rank > 0; --rank) {
        if (!queue.by_rank[rank - 1].empty()) {
            return rank - 1;
        }
    }
    return queue.by_rank.size();
}

} // namespace

std::uint32_t order_of(const core::call_context& context) {
    if (!continues_chain(context)) {
        return root_buckets + position_of(context);
    }
    return root_position(context) / (1 + std::min(context.work_spent, most_counted_work));
}

queue_outcome push(call_queue& queue, const waiting_call& call, core::steady_time now) {
    queue_outcome outcome;
    if (now >= call.deadline || queue.max_length == 0) {
        outcome.refused.push_back(call);
        return outcome;
    }
    if (queue.by_rank.size() <= call.rank) {
        queue.by_rank.resize(std::size_t{call.rank} + 1);
    }
    if (queue.length >= queue.max_length) {
        const std::size_t replaced_rank = least_preferred_class(queue);
        const auto replaced = call_to_replace(queue, queue.by_rank[replaced_rank], call);
        if (replaced_rank < call.rank || replaced == queue.by_rank[replaced_rank].end()) {
            outcome.refused.push_back(call);
            return outcome;
        }
        outcome.refused.push_back(*replaced);
        queue.by_rank[replaced_rank].erase(replaced);
        --queue.length;
    }
    queue.by_rank[call.rank].push_back(call);
    ++queue.length;
    return outcome;
}

queue_outcome pop(call_queue& queue, std::chrono::nanoseconds typical_service, core::steady_time now) {
    queue_outcome outcome = expire(queue, typical_service, now);
    for (auto& calls : queue.by_rank) {
        if (calls.empty()) {
            continue;
        }
        const auto chosen = choose_within_class(queue, calls, typical_service, now);
        outcome.next = *chosen;
        calls.erase(chosen);
        --queue.length;
        return outcome;
    }
    return outcome;
}

queue_outcome expire(call_queue& queue, std::chrono::nanoseconds typical_service, core::steady_time now) {
    queue_outcome outcome;
    remove_expired(queue, typical_service, now, outcome.refused);
    return outcome;
}

queue_outcome shed(call_queue& queue, const shed_level& level) {
    queue_outcome outcome;
    remove_if(
        queue, [&](const waiting_call& call) { return !still_admits(level, call); }, outcome.refused);
    return outcome;
}

bool remove(call_queue& queue, std::uint64_t ticket) {
    for (auto& calls : queue.by_rank) {
        const auto found = std::find_if(calls.begin(), calls.end(),
                                        [&](const waiting_call& call) { return call.ticket == ticket; });
        if (found != calls.end()) {
            calls.erase(found);
            --queue.length;
            return true;
        }
    }
    return false;
}

} // namespace monsoonlift::admission
