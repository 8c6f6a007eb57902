#include "configuration/follower_rules.h"

#include <algorithm>
#include <map>
#include <utility>

#include <xxhash.h>

namespace monsoonlift::configuration {

namespace {

constexpr std::size_t max_offers = 8;

/// Returns a random duration from half to one and a half times `mean`, so that the checks of a fleet do not
/// coincide.
std::chrono::milliseconds jittered(std::chrono::milliseconds mean, store::random_engine& random) {
    const auto half = mean.count() / 2;
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(half, half + mean.count())(random));
}

std::pair<std::uint64_t, std::string> score_of(const std::string& address) {
    return {XXH3_64bits(address.data(), address.size()), address};
}

bool is_eligible(const membership::member& candidate) {
    return candidate.status == membership::member_status::alive && !candidate.draining;
}

bool is_stuck(const follower_state& state, std::uint64_t in_force, const follower_rule& rule,
              core::steady_time now) {
    return state.highest_offered > in_force && now - state.behind_since >= rule.stuck_after;
}

core::steady_time random_pull_time(const follower_rule& rule, store::random_engine& random,
                                   core::steady_time now) {
    return now + std::chrono::milliseconds(
                     std::uniform_int_distribution<std::int64_t>(0, rule.pull_jitter.count())(random));
}

void drop_old_offers(follower_state& state, std::uint64_t in_force) {
    std::erase_if(state.offers, [in_force](const peer_offer& offer) { return offer.revision <= in_force; });
}

} // namespace

follower_rule follower_rule_within(std::chrono::milliseconds bound) {
    follower_rule rule;
    // NOTE: a watch without an answer fails after its patience and the watch grace (half the patience unless
    // clamped), so after half of the bound.
    rule.watch_patience = bound / 3;
    rule.call_patience = bound / 2;
    rule.role_check = bound / 2;
    rule.store_check = bound * 10;
    rule.start_check = bound / 2;
    rule.pull_jitter = bound / 10;
    rule.stuck_after = bound / 2;
    rule.store_backoff = {bound / 20, bound / 4};
    return rule;
}

bool is_watcher(const std::string& address, const std::string& data_centre,
                const std::vector<membership::member>& members, std::size_t watchers) {
    const auto own = score_of(address);
    const auto better = std::count_if(members.begin(), members.end(), [&](const membership::member& other) {
        return other.data_centre == data_centre && is_eligible(other) && other.id.address != address &&
               score_of(other.id.address) > own;
    });
    return static_cast<std::size_t>(better) < watchers;
}

std::vector<membership::member> find_watchers(const std::vector<membership::member>& members,
                                              std::size_t watchers) {
    using scored_member = std::pair<std::pair<std::uint64_t, std::string>, const membership::member*>;
    std::map<std::string, std::vector<scored_member>> by_data_centre;
    for (const auto& each : members) {
        if (is_eligible(each)) {
            by_data_centre[each.data_centre].emplace_back(score_of(each.id.address), &each);
        }
    }
    std::vector<membership::member> found;
    for (auto& [data_centre, candidates] : by_data_centre) {
        const auto kept = std::min(watchers, candidates.size());
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                          candidates.end(),
                          [](const auto& left, const auto& right) { return left.first > right.first; });
        for (std::size_t at = 0; at < kept; ++at) {
            found.push_back(*candidates[at].second);
        }
    }
    return found;
}

void note_offer(follower_state& state, const peer_offer& offer, std::uint64_t in_force,
                const follower_rule& rule, store::random_engine& random, core::steady_time now) {
    drop_old_offers(state, in_force);
    if (offer.revision <= in_force) {
        return;
    }
    if (state.highest_offered <= in_force) {
        state.behind_since = now;
        state.next_pull = random_pull_time(rule, random, now);
    }
    state.highest_offered = std::max(state.highest_offered, offer.revision);
    const auto previous = std::find_if(state.offers.begin(), state.offers.end(), [&](const peer_offer& each) {
        return each.admin_address == offer.admin_address;
    });
    if (previous != state.offers.end()) {
        previous->revision = std::max(previous->revision, offer.revision);
        return;
    }
    if (state.offers.size() < max_offers) {
        state.offers.push_back(offer);
    }
}

std::optional<peer_offer> next_pull(follower_state& state, std::uint64_t in_force, core::steady_time now) {
    drop_old_offers(state, in_force);
    if (state.pull_busy || state.offers.empty() || now < state.next_pull) {
        return std::nullopt;
    }
    const auto best = std::max_element(
        state.offers.begin(), state.offers.end(),
        [](const peer_offer& left, const peer_offer& right) { return left.revision < right.revision; });
    auto chosen = *best;
    state.offers.erase(best);
    return chosen;
}

store_call next_store_call(const follower_state& state, std::uint64_t in_force, const follower_rule& rule,
                           core::steady_time now) {
    if (state.store_busy || now < state.retry_at) {
        return store_call::none;
    }
    const bool needs_cursor = state.is_watcher && !state.has_cursor;
    if (needs_cursor || now >= state.next_check || is_stuck(state, in_force, rule, now)) {
        return store_call::list;
    }
    return state.is_watcher ? store_call::watch : store_call::none;
}

void record_list(follower_state& state, std::uint64_t cursor, std::uint64_t in_force,
                 const follower_rule& rule, store::random_engine& random, core::steady_time now) {
    state.store_failures = 0;
    state.has_cursor = true;
    state.cursor = cursor;
    state.highest_offered = 0;
    state.next_check = now + jittered(in_force == 0 ? rule.start_check : rule.store_check, random);
}

void record_watch(follower_state& state, std::uint64_t cursor) {
    state.store_failures = 0;
    state.cursor = std::max(state.cursor, cursor);
}

void record_pull_failure(follower_state& state, const follower_rule& rule, store::random_engine& random,
                         core::steady_time now) {
    state.next_pull = random_pull_time(rule, random, now);
}

void record_restore(follower_state& state) {
    ++state.restores;
    state.has_cursor = false;
    state.cursor = 0;
}

void record_store_failure(follower_state& state, const follower_rule& rule, store::random_engine& random,
                          core::steady_time now) {
    state.retry_at = now + store::next_delay(rule.store_backoff, state.store_failures++, random);
    // NOTE: the platform may have dropped its change history after the cursor, so the next call is a full
    // list.
    state.has_cursor = false;
}

} // namespace monsoonlift::configuration
