#include "configuration/freshness_rules.h"

#include "configuration/follower_rules.h"

#include <algorithm>
#include <random>

namespace monsoonlift::configuration {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t most_pending = 8;

/// Once all watchers were asked in vain, one round of questions in so many goes to a watcher again.
constexpr std::uint32_t watcher_share_of_rounds = 4;

/// Peers that are asked in each round while the proof is late. More than one, so that a proof that few
/// daemons have reaches all others within the bound.
constexpr std::size_t random_peers_asked = 3;

/// Above the number of watchers, so that each is drawn as the first about as often.
constexpr std::size_t first_watcher_range = 1'000'000;

bool is_older(std::optional<core::boot_time> proven, std::chrono::milliseconds age, core::boot_time now) {
    return !proven || now - *proven > age;
}

/// Mean time between two reads of a daemon that is not a watcher: no shorter than the interval of questions,
/// and longer in a large fleet.
std::chrono::nanoseconds extra_read_interval(const freshness_state& state, const freshness_rule& rule) {
    const auto members = static_cast<double>(state.peers.others.size() + 1);
    const std::chrono::duration<double> share(members / rule.extra_reads_per_second);
    return std::max<std::chrono::nanoseconds>(rule.ask_interval,
                                              std::chrono::duration_cast<std::chrono::nanoseconds>(share));
}

std::chrono::nanoseconds random_time(std::chrono::nanoseconds longest, store::random_engine& random) {
    return std::chrono::nanoseconds(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random));
}

const core::endpoint_id& pick(const std::vector<core::endpoint_id>& from, store::random_engine& random) {
    return from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(random)];
}

/// Adds random peers that are not chosen yet. A peer drawn twice is left out.
void add_random_peers(const freshness_state& state, store::random_engine& random,
                      std::vector<core::endpoint_id>& chosen) {
    const auto& others = state.peers.others;
    for (std::size_t drawn = 0; drawn < random_peers_asked && !others.empty(); ++drawn) {
        const auto& peer = pick(others, random);
        if (std::find(chosen.begin(), chosen.end(), peer) == chosen.end()) {
            chosen.push_back(peer);
        }
    }
}

/// Returns the watcher for the round after `unanswered` ones: those of this data centre come first, from a
/// random one on, then those of the others.
std::optional<core::endpoint_id> next_watcher(const freshness_state& state) {
    const auto& near = state.peers.near_watchers;
    const auto& far = state.peers.far_watchers;
    if (near.empty() && far.empty()) {
        return std::nullopt;
    }
    const auto at = state.unanswered % (near.size() + far.size());
    return at < near.size() ? near[(state.first_watcher + at) % near.size()]
                            : far[(state.first_watcher + at) % far.size()];
}

} // namespace

freshness_rule freshness_rule_within(std::chrono::milliseconds bound) {
    freshness_rule rule;
    rule.bound = bound;
    rule.tick = std::clamp<std::chrono::milliseconds>(bound / 100, 10ms, 100ms);
    rule.read_interval = bound / 10;
    rule.read_patience = bound * 2 / 5;
    rule.ask_interval = bound / 5;
    rule.retry_interval = bound / 16;
    // NOTE: above the sum of read_interval, ask_interval and tick, the age that a proof reaches with regular
    // reads and questions.
    rule.late_after = bound / 3;
    rule.read_after = bound * 2 / 5;
    rule.role_check = bound * 2 / 5;
    rule.restore_patience = bound / 2;
    return rule;
}

std::optional<freshness_proof> proof_of_read(std::uint64_t read, std::uint64_t in_force,
                                             core::boot_time sent) {
    if (read == 0 || read < in_force) {
        return std::nullopt;
    }
    return freshness_proof{read, sent};
}

std::optional<freshness_proof> proof_of_answer(const freshness_answer& answer, std::uint64_t in_force,
                                               core::boot_time sent) {
    if (answer.age < 0us) {
        return std::nullopt;
    }
    return proof_of_read(answer.revision, in_force, sent - answer.age);
}

bool counts(const freshness_proof& proof, std::uint64_t in_force) {
    return proof.revision <= in_force;
}

bool may_serve(std::optional<core::boot_time> proven, std::chrono::milliseconds bound, core::boot_time now) {
    return !is_older(proven, bound, now);
}

freshness_peers find_freshness_peers(const std::string& address, const std::string& data_centre,
                                     const std::vector<membership::member>& members,
                                     std::size_t watchers_per_data_centre) {
    freshness_peers found;
    found.is_watcher = is_watcher(address, data_centre, members, watchers_per_data_centre);
    const auto watchers = find_watchers(members, watchers_per_data_centre);
    for (const auto& each : watchers) {
        if (each.id.address != address) {
            (each.data_centre == data_centre ? found.near_watchers : found.far_watchers).push_back(each.id);
        }
    }
    for (const auto& each : members) {
        if (each.id.address != address && membership::is_present(each)) {
            found.others.push_back(each.id);
        }
    }
    return found;
}

bool reads_store(freshness_state& state, const freshness_rule& rule, std::optional<core::boot_time> proven,
                 store::random_engine& random, core::boot_time now) {
    const bool is_old = is_older(proven, rule.read_after, now);
    if (state.peers.is_watcher) {
        if (now < state.next_read || state.reads >= rule.most_reads) {
            return false;
        }
        state.next_read = now + rule.read_interval;
        return true;
    }
    if (!is_old || state.reads > 0) {
        return false;
    }
    const auto mean = extra_read_interval(state, rule);
    if (!state.next_extra_read || now - *state.next_extra_read > mean) {
        // NOTE: the proofs of a whole fleet become old at the same time.
        state.next_extra_read = now + random_time(mean, random);
    }
    if (now < *state.next_extra_read) {
        return false;
    }
    state.next_extra_read = now + mean / 2 + random_time(mean, random);
    return true;
}

std::vector<core::endpoint_id> next_to_ask(freshness_state& state, const freshness_rule& rule,
                                           std::optional<core::boot_time> proven,
                                           store::random_engine& random, core::boot_time now) {
    const bool is_late = is_older(proven, rule.late_after, now);
    const bool is_satisfied = state.peers.is_watcher && !is_late;
    if (is_satisfied || now < state.next_question) {
        return {};
    }
    std::vector<core::endpoint_id> chosen;
    const bool asks_watcher =
        state.unanswered < state.peers.near_watchers.size() + state.peers.far_watchers.size() ||
        state.unanswered % watcher_share_of_rounds == 0;
    if (state.unanswered == 0) {
        state.first_watcher = random() % first_watcher_range;
    }
    if (asks_watcher) {
        if (auto watcher = next_watcher(state)) {
            chosen.push_back(*std::move(watcher));
        }
    }
    if (is_late) {
        add_random_peers(state, random, chosen);
    }
    ++state.unanswered;
    state.last_asked = now;
    state.next_question = now + rule.retry_interval;
    return chosen;
}

void record_useful_answer(freshness_state& state, const freshness_rule& rule, core::boot_time proven,
                          core::boot_time now) {
    if (is_older(proven, rule.late_after, now)) {
        return;
    }
    state.unanswered = 0;
    state.next_question = std::max(now, state.last_asked + rule.ask_interval);
}

std::uint64_t record_question(freshness_state& state, const freshness_rule& rule, core::boot_time now) {
    // NOTE: an answer that took longer than the bound proves nothing that helps.
    std::erase_if(state.questions, [&](const auto& each) { return now - each.second > rule.bound; });
    const auto number = ++state.last_question;
    state.questions.emplace(number, now);
    return number;
}

std::optional<core::boot_time> take_question(freshness_state& state, std::uint64_t question) {
    const auto found = state.questions.find(question);
    if (found == state.questions.end()) {
        return std::nullopt;
    }
    const auto sent = found->second;
    state.questions.erase(found);
    return sent;
}

void keep_pending(freshness_state& state, const freshness_proof& proof) {
    if (state.pending.size() >= most_pending) {
        state.pending.erase(state.pending.begin());
    }
    state.pending.push_back(proof);
}

std::optional<freshness_proof> take_pending(freshness_state& state, std::uint64_t in_force) {
    std::optional<freshness_proof> latest;
    for (const auto& each : state.pending) {
        if (counts(each, in_force) && (!latest || each.at > latest->at)) {
            latest = each;
        }
    }
    std::erase_if(state.pending, [&](const auto& each) { return counts(each, in_force); });
    return latest;
}

} // namespace monsoonlift::configuration
