#include "quota/held_tokens.h"

#include "quota/quota_rules.h"
#include "quota/shards.h"

#include <algorithm>
#include <cmath>

namespace monsoonlift::quota {

namespace {

using outcome = token_decision::outcome;
using seconds = std::chrono::duration<double>;

/// Retry-After for calls that got no answer: a new owner takes about as long.
constexpr std::chrono::milliseconds no_answer_retry = std::chrono::milliseconds(1000);

bool is_valid(const token_lot& lot, core::boot_time now) {
    return lot.tokens > 0 && now - lot.received < token_lifetime;
}

/// Takes the token that expires first.
std::optional<taken_token> take_token(account_tokens& account, std::string_view name, core::boot_time now) {
    const auto found = std::find_if(account.lots.begin(), account.lots.end(),
                                    [now](const auto& lot) { return is_valid(lot, now); });
    if (found == account.lots.end()) {
        return std::nullopt;
    }
    --found->tokens;
    ++account.taken;
    return taken_token{std::string(name), found->sequence, found->received + token_lifetime};
}

token_decision limited(account_tokens& account, core::boot_time now) {
    ++account.limited;
    token_decision decision;
    decision.what = outcome::limited;
    decision.demand = account.fleet_demand;
    decision.retry_after = std::max(std::chrono::ceil<std::chrono::milliseconds>(account.refused_until - now),
                                    std::chrono::milliseconds(1));
    return decision;
}

token_decision unanswered(account_tokens& account) {
    ++account.unanswered;
    token_decision decision;
    decision.what = outcome::no_answer;
    decision.retry_after = no_answer_retry;
    return decision;
}

std::vector<settled_call> serve_waiting(account_tokens& account, const std::string& name,
                                        core::boot_time now) {
    std::vector<settled_call> settled;
    while (!account.waiting.empty()) {
        auto token = take_token(account, name, now);
        if (!token) {
            break;
        }
        settled.push_back({account.waiting.front().id, {outcome::granted, *std::move(token), {}, 0, 0}});
        account.waiting.pop_front();
    }
    return settled;
}

/// Refuses the calls for which an answer brought no token.
void refuse_waiting(account_tokens& account, const account_grant& grant, std::uint32_t refused,
                    core::boot_time now, std::vector<settled_call>& settled) {
    account.fleet_demand = grant.demand;
    account.refused_until = std::max(account.refused_until, now + grant.retry_after);
    for (; refused > 0 && !account.waiting.empty(); --refused) {
        settled.push_back({account.waiting.front().id, limited(account, now)});
        account.waiting.pop_front();
    }
}

/// Takes over the tokens of a grant, not more than were asked for.
void add_tokens(account_tokens& account, const account_ask& asked, const account_grant& grant,
                const pending_ask& request, core::boot_time now) {
    const auto tokens = std::min(grant.tokens, asked.needed + asked.ahead);
    std::erase_if(account.lots, [now](const auto& lot) { return !is_valid(lot, now); });
    if (tokens > 0 && now - request.sent < token_lifetime) {
        account.lots.push_back({request.message.sequence, tokens, request.sent});
    }
}

void forget_asked(held_tokens& entry, const pending_ask& request) {
    for (const auto& ask : request.message.asks) {
        const auto found = entry.accounts.find(ask.account);
        if (found != entry.accounts.end()) {
            found->second.asked -= std::min(found->second.asked, ask.needed);
        }
    }
}

std::uint32_t missing(const account_tokens& account) {
    const auto waiting = static_cast<std::uint32_t>(account.waiting.size());
    return waiting > account.asked ? waiting - account.asked : 0;
}

/// Removes the tokens that are old enough to be returned.
void return_unused(account_tokens& account, const std::string& name, ask_message& request,
                   core::boot_time now) {
    for (auto& lot : account.lots) {
        if (is_valid(lot, now) && now - lot.received >= return_age) {
            request.returned.push_back({name, lot.sequence, lot.tokens});
            lot.tokens = 0;
        }
    }
    std::erase_if(account.lots, [now](const auto& lot) { return !is_valid(lot, now); });
}

std::uint32_t wanted_ahead(const account_tokens& account, core::boot_time now) {
    const double demand = demand_at(account.demand, now);
    if (demand < least_demand_ahead || now < account.refused_until) {
        return 0;
    }
    const auto target = static_cast<std::uint32_t>(std::ceil(demand * seconds(ahead_horizon).count()));
    const auto held = tokens_of(account, now);
    return target > held ? target - held : 0;
}

account_ask begin_ask(account_tokens& account, const std::string& name) {
    account_ask ask{name, missing(account), 0, std::exchange(account.unreported, 0)};
    account.asked += ask.needed;
    return ask;
}

} // namespace

std::vector<settled_call> set_accounts(held_tokens& entry, const account_limits& limits) {
    std::vector<settled_call> settled;
    for (auto& [name, account] : entry.accounts) {
        if (limits.contains(name)) {
            continue;
        }
        for (const auto& call : account.waiting) {
            settled.push_back({call.id, {}});
        }
    }
    std::erase_if(entry.accounts, [&](const auto& each) { return !limits.contains(each.first); });
    for (const auto& each : limits) {
        entry.accounts[each.first].shard = shard_of(each.first);
    }
    return settled;
}

token_decision take(held_tokens& entry, std::string_view account, core::boot_time now,
                    core::boot_time until) {
    const auto found = entry.accounts.find(account);
    if (found == entry.accounts.end()) {
        return {};
    }
    auto& known = found->second;
    count_calls(known.demand, 1, now);
    ++known.unreported;
    if (auto token = take_token(known, account, now)) {
        return {outcome::granted, *std::move(token), {}, 0, 0};
    }
    if (now < known.refused_until) {
        return limited(known, now);
    }
    if (until <= now) {
        return unanswered(known);
    }
    token_decision decision;
    decision.what = outcome::waits;
    decision.waiter = ++entry.last_waiter;
    known.waiting.push_back({decision.waiter, std::min(until, now + longest_wait)});
    return decision;
}

void give_back(held_tokens& entry, const taken_token& token, core::boot_time now) {
    const auto found = entry.accounts.find(token.account);
    if (found == entry.accounts.end() || token.expires <= now) {
        return;
    }
    auto& lots = found->second.lots;
    const auto same = std::find_if(lots.begin(), lots.end(),
                                   [&](const auto& lot) { return lot.sequence == token.sequence; });
    if (same != lots.end()) {
        ++same->tokens;
        return;
    }
    const auto received = token.expires - token_lifetime;
    const auto place =
        std::find_if(lots.begin(), lots.end(), [&](const auto& lot) { return lot.received > received; });
    lots.insert(place, {token.sequence, 1, received});
}

ask_message ask_for_waiting(held_tokens& entry, std::string_view account, core::boot_time now) {
    ask_message request;
    const auto found = entry.accounts.find(account);
    if (found == entry.accounts.end() || missing(found->second) == 0) {
        return request;
    }
    request.shard = found->second.shard;
    auto ask = begin_ask(found->second, found->first);
    ask.ahead = wanted_ahead(found->second, now);
    request.asks.push_back(std::move(ask));
    return request;
}

ask_message ask_ahead(held_tokens& entry, std::uint32_t shard, core::boot_time now) {
    ask_message request;
    request.shard = shard;
    for (auto& [name, account] : entry.accounts) {
        if (account.shard != shard) {
            continue;
        }
        return_unused(account, name, request, now);
        const auto ahead = wanted_ahead(account, now);
        if (ahead > 0 || account.unreported > 0 || missing(account) > 0) {
            auto ask = begin_ask(account, name);
            ask.ahead = ahead;
            request.asks.push_back(std::move(ask));
        }
    }
    return request;
}

void note_sent(held_tokens& entry, ask_message message, const core::endpoint_id& to, core::boot_time now) {
    entry.last_sequence = std::max(entry.last_sequence, message.sequence);
    entry.pending.push_back({std::move(message), to, now, false});
}

std::vector<settled_call> take_answer(held_tokens& entry, const core::endpoint_id& from,
                                      const grant_message& received, core::boot_time now) {
    const auto request = std::find_if(entry.pending.begin(), entry.pending.end(), [&](const auto& each) {
        return each.message.sequence == received.sequence && each.message.shard == received.shard &&
               each.to == from;
    });
    std::vector<settled_call> settled;
    if (request == entry.pending.end()) {
        return settled;
    }
    const pending_ask answered = std::move(*request);
    entry.pending.erase(request);
    if (!answered.is_overdue) {
        forget_asked(entry, answered);
    }
    for (const auto& ask : answered.message.asks) {
        const auto account = entry.accounts.find(ask.account);
        const auto grant = std::find_if(received.grants.begin(), received.grants.end(),
                                        [&](const auto& each) { return each.account == ask.account; });
        if (account == entry.accounts.end() || grant == received.grants.end()) {
            continue;
        }
        add_tokens(account->second, ask, *grant, answered, now);
        auto served = serve_waiting(account->second, account->first, now);
        settled.insert(settled.end(), served.begin(), served.end());
        if (grant->refused) {
            const auto refused = ask.needed - std::min(ask.needed, grant->tokens);
            refuse_waiting(account->second, *grant, refused, now, settled);
        }
    }
    return settled;
}

std::vector<settled_call> expire_waiting(held_tokens& entry, core::boot_time now) {
    std::vector<settled_call> settled;
    for (auto& [name, account] : entry.accounts) {
        auto& waiting = account.waiting;
        for (auto call = waiting.begin(); call != waiting.end();) {
            if (call->until > now) {
                ++call;
                continue;
            }
            settled.push_back({call->id, unanswered(account)});
            call = waiting.erase(call);
        }
    }
    return settled;
}

std::vector<std::pair<std::uint32_t, core::endpoint_id>> find_overdue(held_tokens& entry,
                                                                      core::boot_time now) {
    std::vector<std::pair<std::uint32_t, core::endpoint_id>> silent;
    for (auto& request : entry.pending) {
        if (!request.is_overdue && now - request.sent >= answer_patience) {
            request.is_overdue = true;
            forget_asked(entry, request);
            silent.emplace_back(request.message.shard, request.to);
        }
    }
    std::erase_if(entry.pending, [now](const auto& each) { return now - each.sent >= token_lifetime; });
    return silent;
}

bool has_unasked(const held_tokens& entry, std::uint32_t shard) {
    return std::any_of(entry.accounts.begin(), entry.accounts.end(), [shard](const auto& each) {
        return each.second.shard == shard && missing(each.second) > 0;
    });
}

std::uint32_t tokens_of(const account_tokens& account, core::boot_time now) {
    std::uint32_t sum = 0;
    for (const auto& lot : account.lots) {
        sum += is_valid(lot, now) ? lot.tokens : 0;
    }
    return sum;
}

} // namespace monsoonlift::quota
