#include "quota/internal/entry_quota.h"

#include "core/go_on.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::quota::internal {

using outcome = token_decision::outcome;

entry_quota::entry_quota(sender send, const core::clock& clock, logging::event_log& log)
    : m_send(std::move(send)), m_clock(clock), m_log(log), m_refused_lines(clock), m_unanswered_lines(clock),
      m_demands(clock) {}

void entry_quota::set_limits(const account_limits& limits) {
    effects then;
    {
        const std::scoped_lock lock(m_mutex);
        m_limits = limits;
        then.settled = set_accounts(m_tokens, limits);
    }
    m_has_limits = !limits.empty();
    m_demands.forget_if([&](const std::string& account) { return !limits.contains(account); });
    carry_out(then);
}

void entry_quota::set_candidates(const std::array<std::vector<core::endpoint_id>, shard_count>& candidates) {
    const std::scoped_lock lock(m_mutex);
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        m_routes[shard].candidates = candidates[shard];
    }
}

token_decision entry_quota::take(const std::string& account, core::steady_time deadline,
                                 token_source::handler done) {
    if (!m_has_limits) {
        return {};
    }
    effects then;
    token_decision decision;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_clock.boot_now();
        const auto patience = std::min<std::chrono::nanoseconds>(longest_wait, deadline - m_clock.now());
        decision = quota::take(m_tokens, account, now, now + patience);
        if (decision.what == outcome::waits) {
            m_waiters.emplace(decision.waiter, waiter{account, std::move(done)});
            prepare(ask_for_waiting(m_tokens, account, now), now, then);
        }
    }
    if (decision.what != outcome::waits) {
        count(account, decision);
    }
    carry_out(then);
    return decision;
}

void entry_quota::give_back(const taken_token& token) {
    if (token.account.empty()) {
        return;
    }
    const std::scoped_lock lock(m_mutex);
    quota::give_back(m_tokens, token, m_clock.boot_now());
}

void entry_quota::prepare(ask_message message, core::boot_time now, effects& then) {
    if (message.asks.empty() && message.returned.empty()) {
        return;
    }
    message.sequence = m_tokens.last_sequence + 1;
    const auto to = target_of(m_routes[message.shard]).value_or(core::endpoint_id());
    // NOTE: without a member to ask, the request is noted all the same, so that it is asked again later.
    note_sent(m_tokens, message, to, now);
    if (!to.address.empty()) {
        then.messages.push_back({to, std::move(message)});
    }
}

void entry_quota::handle(const core::endpoint_id& from, const grant_message& received) {
    effects then;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_clock.boot_now();
        auto& route = m_routes[received.shard];
        then.settled = take_answer(m_tokens, from, received, now);
        if (received.holds) {
            note_holder(route, from);
        } else if (note_not_holder(route, from, received.holder)) {
            ask_for_shard(received.shard, now, then);
        }
    }
    for (const auto& grant : received.grants) {
        m_demands.note(grant.account, grant.demand);
    }
    for (const auto& report : received.demands) {
        m_demands.note(report.account, report.demand);
    }
    carry_out(then);
}

void entry_quota::ask_for_shard(std::uint32_t shard, core::boot_time now, effects& then) {
    prepare(ask_ahead(m_tokens, shard, now), now, then);
}

void entry_quota::expire() {
    effects then;
    {
        const std::scoped_lock lock(m_mutex);
        then.settled = expire_waiting(m_tokens, m_clock.boot_now());
    }
    carry_out(then);
}

void entry_quota::tick() {
    effects then;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_clock.boot_now();
        then.settled = expire_waiting(m_tokens, now);
        for (const auto& [shard, silent] : find_overdue(m_tokens, now)) {
            note_silence(m_routes[shard], silent);
        }
        const bool reports = now - m_reported >= report_interval;
        m_reported = reports ? now : m_reported;
        for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
            if (reports || has_unasked(m_tokens, shard)) {
                ask_for_shard(shard, now, then);
            }
        }
    }
    carry_out(then);
}

void entry_quota::carry_out(const effects& then) {
    core::run_then(
        [&] {
            core::for_each_apart(then.messages, [this](const auto& each) { m_send(each.to, each.message); });
        },
        [&] { core::for_each_apart(then.settled, [this](const auto& each) { settle(each); }); });
}

void entry_quota::settle(const settled_call& call) {
    waiter found;
    {
        const std::scoped_lock lock(m_mutex);
        const auto known = m_waiters.find(call.waiter);
        if (known == m_waiters.end()) {
            return;
        }
        found = std::move(known->second);
        m_waiters.erase(known);
    }
    core::run_then([&] { count(found.account, call.decision); }, [&] { found.done(call.decision); });
}

void entry_quota::count(const std::string& account, const token_decision& decision) {
    if (decision.what == outcome::granted) {
        m_totals.taken += decision.token.account.empty() ? 0 : 1;
        return;
    }
    const bool is_limited = decision.what == outcome::limited;
    ++(is_limited ? m_totals.limited : m_totals.unanswered);
    const auto left_out = (is_limited ? m_refused_lines : m_unanswered_lines).take();
    if (!left_out) {
        return;
    }
    accounts::account_limit limit;
    core::endpoint_id asked;
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_limits.find(account);
        limit = found == m_limits.end() ? limit : found->second;
        asked = target_of(m_routes[shard_of(account)]).value_or(asked);
    }
    m_log.write(is_limited ? logging::event_id::quota_refused : logging::event_id::quota_unanswered,
                {{"account", account},
                 {"rate", std::to_string(limit.rate_per_second)},
                 {"burst", std::to_string(limit.burst)},
                 {"demand", std::to_string(m_demands.demand_of(account).value_or(0))},
                 {"retry_after_ms", std::to_string(decision.retry_after.count())},
                 {"owner", asked.address},
                 {"left_out", std::to_string(*left_out)}});
}

std::vector<entry_quota::account_status> entry_quota::accounts() const {
    const std::scoped_lock lock(m_mutex);
    std::vector<account_status> all;
    for (const auto& [name, known] : m_tokens.accounts) {
        const auto limit = m_limits.find(name);
        all.push_back({name, limit == m_limits.end() ? accounts::account_limit() : limit->second, known.taken,
                       known.limited, known.unanswered, tokens_of(known, m_clock.boot_now())});
    }
    return all;
}

} // namespace monsoonlift::quota::internal
