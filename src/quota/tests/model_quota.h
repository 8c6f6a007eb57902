/// A fleet of entries and owners in one thread: the pure functions of the module under a clock, a network and
/// a store of the test's own.
#pragma once

#include "quota/held_tokens.h"
#include "quota/lease.h"
#include "quota/quota_rules.h"
#include "quota/shards.h"
#include "quota/token_bucket.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace monsoonlift::quota::testing {

using namespace std::chrono_literals;
using core::boot_time;

/// Time of one step of the model.
constexpr std::chrono::milliseconds model_step = 1ms;

/// The store with one object, which can be unavailable and be restored from a copy.
struct model_store {
    std::uint64_t version = 0;
    std::optional<store::object> object;
    bool is_available = true;

    std::optional<std::uint64_t> update_if(std::uint64_t expected, const std::string& value) {
        const auto found = object ? object->version : 0;
        if (found != expected) {
            return std::nullopt;
        }
        object = store::object{"quota/0", ++version, value};
        return version;
    }
};

/// One daemon: an entry, and a possible owner of the shard that is modelled.
struct model_daemon {
    core::endpoint_id id;
    held_tokens entry;
    shard_route route;
    shard_owner owner;
    lease_state lease;
    std::uint64_t tenure = 0;
    bool is_dead = false;
    boot_time frozen_until = boot_time::min();
    bool is_cut_off = false; ///< Its messages are lost.
    bool is_without_store = false;
    std::uint64_t ran = 0;
};

/// Outcomes of the calls of one account.
struct model_totals {
    std::uint64_t offered = 0;
    std::uint64_t ran = 0;
    std::uint64_t limited = 0;
    std::uint64_t unanswered = 0;
    std::vector<boot_time> starts; ///< Of the calls that ran, in order.
};

/// The fleet. All accounts belong to the shard of the first one.
class model_quota {
public:
    model_quota(std::size_t daemons, account_limits limits, std::uint64_t seed)
        : m_limits(std::move(limits)), m_random(seed), m_shard(shard_of(m_limits.begin()->first)) {
        for (std::size_t index = 0; index < daemons; ++index) {
            auto& each = m_daemons.emplace_back();
            start(each, index, 1);
        }
    }

    /// Calls a second of an account at one entry.
    void set_demand(const std::string& account, std::size_t daemon, double calls_per_second) {
        m_demands[{account, daemon}] = calls_per_second;
    }

    void clear_demands() { m_demands.clear(); }

    void run_for(std::chrono::milliseconds time) {
        for (const auto end = m_now + time; m_now < end; m_now += model_step) {
            step();
        }
    }

    void set_limits(const account_limits& limits) {
        m_limits = limits;
        for (auto& each : m_daemons) {
            quota::set_limits(each.owner, m_shard, limits, m_now);
            for (const auto& settled : set_accounts(each.entry, limits)) {
                settle(each, settled);
            }
        }
    }

    /// Replaces the process by another one, which knows nothing.
    void restart(std::size_t index) {
        auto& each = m_daemons[index];
        const auto life = each.id.life.value + 1;
        each = {};
        start(each, index, life);
    }

    void freeze(std::size_t index, std::chrono::milliseconds time) {
        m_daemons[index].frozen_until = m_now + time;
    }

    [[nodiscard]] std::optional<std::size_t> holder() const {
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            if (holds(m_daemons[index].lease, m_now) && !m_daemons[index].is_dead) {
                return index;
            }
        }
        return std::nullopt;
    }

    /// Largest number of daemons whose leases were valid at the same moment.
    [[nodiscard]] std::size_t most_holders() const { return m_most_holders; }

    [[nodiscard]] model_daemon& daemon(std::size_t index) { return m_daemons[index]; }
    [[nodiscard]] std::size_t size() const { return m_daemons.size(); }
    [[nodiscard]] model_store& store() { return m_store; }
    [[nodiscard]] model_totals& totals(const std::string& account) { return m_totals[account]; }
    [[nodiscard]] boot_time now() const { return m_now; }
    [[nodiscard]] std::uint64_t messages() const { return m_messages; }

    /// Share of the messages that arrive twice, and of those that arrive late, after the next ones.
    double repeated = 0;
    double late = 0;

    /// The daemons that all take for the first and the second candidate.
    std::vector<std::size_t> contenders{0, 1};

private:
    struct event {
        boot_time due;
        std::uint64_t number = 0;
        std::size_t at = 0;
        std::function<void(model_daemon&)> run;

        bool operator<(const event& other) const {
            return std::tie(other.due, other.number) < std::tie(due, number);
        }
    };

    void start(model_daemon& each, std::size_t index, std::uint64_t life) {
        each.id = {"daemon-" + std::to_string(index), {life}};
        each.lease.self = each.id;
        static_cast<void>(set_accounts(each.entry, m_limits));
    }

    void post(std::size_t at, std::chrono::nanoseconds delay, std::function<void(model_daemon&)> run) {
        m_events.push_back({m_now + delay, ++m_posted, at, std::move(run)});
        std::push_heap(m_events.begin(), m_events.end());
    }

    [[nodiscard]] bool is_frozen(const model_daemon& each) const { return m_now < each.frozen_until; }

    void step() {
        while (!m_events.empty() && m_events.front().due <= m_now) {
            std::pop_heap(m_events.begin(), m_events.end());
            auto next = std::move(m_events.back());
            m_events.pop_back();
            auto& at = m_daemons[next.at];
            if (is_frozen(at)) {
                // NOTE: what arrives at a frozen VM is handled when it resumes.
                next.due = at.frozen_until;
                m_events.push_back(std::move(next));
                std::push_heap(m_events.begin(), m_events.end());
                continue;
            }
            next.run(at);
        }
        for (const auto& [key, rate] : m_demands) {
            std::poisson_distribution<int> arrivals(rate * std::chrono::duration<double>(model_step).count());
            for (int count = arrivals(m_random); count > 0; --count) {
                call(m_daemons[key.second], key.second, key.first);
            }
        }
        const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            auto& each = m_daemons[index];
            if (!each.is_dead && !is_frozen(each) &&
                (passed.count() + static_cast<long>(index) * 7) % 50 == 0) {
                tick(each, index, (passed.count() + static_cast<long>(index) * 7) % 200 == 0);
            }
        }
        const auto holders = std::count_if(m_daemons.begin(), m_daemons.end(), [this](const auto& each) {
            return !each.is_dead && holds(each.lease, m_now);
        });
        m_most_holders = std::max(m_most_holders, static_cast<std::size_t>(holders));
    }

    void call(model_daemon& at, std::size_t index, const std::string& account) {
        if (at.is_dead || is_frozen(at)) {
            return;
        }
        auto& totals = m_totals[account];
        ++totals.offered;
        const auto decision = take(at.entry, account, m_now, m_now + longest_wait);
        if (decision.what == token_decision::outcome::waits) {
            m_waiting[{index, at.id.life.value, decision.waiter}] = account;
            send_ask(at, index, ask_for_waiting(at.entry, account, m_now));
            return;
        }
        count(totals, decision);
    }

    void count(model_totals& totals, const token_decision& decision) {
        switch (decision.what) {
        case token_decision::outcome::granted:
            ++totals.ran;
            totals.starts.push_back(m_now);
            break;
        case token_decision::outcome::limited:
            ++totals.limited;
            break;
        default:
            ++totals.unanswered;
        }
    }

    void settle(model_daemon& at, const settled_call& settled) {
        const auto index = static_cast<std::size_t>(&at - m_daemons.data());
        const auto found = m_waiting.find({index, at.id.life.value, settled.waiter});
        if (found != m_waiting.end()) {
            count(m_totals[found->second], settled.decision);
            m_waiting.erase(found);
        }
    }

    void tick(model_daemon& each, std::size_t index, bool reports) {
        each.route.candidates.clear();
        for (const auto contender : contenders) {
            each.route.candidates.push_back(m_daemons[contender].id);
        }
        for (const auto& settled : expire_waiting(each.entry, m_now)) {
            settle(each, settled);
        }
        for (const auto& silent : find_overdue(each.entry, m_now)) {
            note_silence(each.route, silent.second);
        }
        if (reports || has_unasked(each.entry, m_shard)) {
            send_ask(each, index, ask_ahead(each.entry, m_shard, m_now));
        }
        const auto place = std::find(contenders.begin(), contenders.end(), index);
        const auto interest = place == contenders.end()     ? lease_interest::none
                              : place == contenders.begin() ? lease_interest::first
                                                            : lease_interest::second;
        perform(each, index, next_step(each.lease, interest, m_now));
    }

    void perform(model_daemon& each, std::size_t index, const lease_step& step) {
        if (step.what == lease_step::kind::none) {
            return;
        }
        const auto life = each.id.life;
        const auto sent = m_now;
        const bool reaches = m_store.is_available && !each.is_without_store;
        const bool writes = step.what == lease_step::kind::write;
        std::optional<std::uint64_t> version;
        if (reaches && writes) {
            version = m_store.update_if(step.expected_version, to_text(step.record));
        }
        const auto found = m_store.object;
        post(index, reaches ? 10ms : 400ms,
             [this, life, sent, reaches, writes, version, step, found](model_daemon& at) {
                 if (at.id.life != life) {
                     return;
                 }
                 if (writes && version) {
                     note_written(at.lease, step, *version, sent, m_now);
                 } else if (writes) {
                     note_write_failed(at.lease);
                 } else if (reaches) {
                     note_read(at.lease, found, m_now);
                 } else {
                     note_read_failed(at.lease);
                 }
                 if (at.tenure != at.lease.tenure) {
                     at.tenure = at.lease.tenure;
                     at.owner = {};
                     quota::set_limits(at.owner, m_shard, m_limits, m_now);
                 }
             });
    }

    void send_ask(model_daemon& from, std::size_t index, ask_message message) {
        const auto to = target_of(from.route);
        if (message.asks.empty() && message.returned.empty()) {
            return;
        }
        message.sequence = from.entry.last_sequence + 1;
        note_sent(from.entry, message, to.value_or(core::endpoint_id()), m_now);
        if (!to) {
            return;
        }
        const auto sender = from.id;
        deliver(from, *to, [this, message, sender, index](model_daemon& at) {
            grant_message reply;
            reply.shard = message.shard;
            reply.sequence = message.sequence;
            if (holds(at.lease, m_now)) {
                reply = answer(at.owner, sender, message, m_now);
            } else {
                reply.holder = known_holder(at.lease, m_now).value_or(core::endpoint_id());
            }
            const auto answering = at.id;
            deliver(at, sender, [this, reply, answering, index](model_daemon& back) {
                const auto settled = take_answer(back.entry, answering, reply, m_now);
                for (const auto& each : settled) {
                    settle(back, each);
                }
                if (reply.holds) {
                    note_holder(back.route, answering);
                } else if (note_not_holder(back.route, answering, reply.holder)) {
                    send_ask(back, index, ask_ahead(back.entry, m_shard, m_now));
                }
            });
        });
    }

    /// Delivers a message to the incarnation that it is meant for, sometimes twice or late.
    void deliver(const model_daemon& from, const core::endpoint_id& to,
                 const std::function<void(model_daemon&)>& handle) {
        ++m_messages;
        const auto index = static_cast<std::size_t>(std::stoul(to.address.substr(to.address.find('-') + 1)));
        if (from.is_cut_off || m_daemons[index].is_cut_off) {
            return;
        }
        std::uniform_real_distribution<double> draw(0, 1);
        const auto arrive = [handle, to](model_daemon& at) {
            if (!at.is_dead && at.id == to) {
                handle(at);
            }
        };
        const bool is_late = draw(m_random) < late;
        post(index, is_late ? std::chrono::nanoseconds(250ms) : std::chrono::nanoseconds(3400us), arrive);
        if (draw(m_random) < repeated) {
            post(index, 30ms, arrive);
        }
    }

    account_limits m_limits;
    std::mt19937_64 m_random;
    std::uint32_t m_shard;
    boot_time m_now{1h};
    std::vector<model_daemon> m_daemons;
    model_store m_store;
    std::vector<event> m_events;
    std::uint64_t m_posted = 0;
    std::uint64_t m_messages = 0;
    std::size_t m_most_holders = 0;
    std::map<std::pair<std::string, std::size_t>, double> m_demands;
    std::map<std::string, model_totals> m_totals;
    std::map<std::tuple<std::size_t, std::uint64_t, std::uint64_t>, std::string> m_waiting;
};

/// Returns by how many calls the worst window of 5 s exceeds what the limit allows; negative if none does.
inline double worst_excess(const model_totals& totals, const accounts::account_limit& limit) {
    constexpr auto window = 5s;
    const double allowed = (limit.rate_per_second * 5 + limit.burst) * 1.1 + 20;
    double worst = -allowed;
    std::size_t first = 0;
    for (std::size_t last = 0; last < totals.starts.size(); ++last) {
        while (totals.starts[last] - totals.starts[first] >= window) {
            ++first;
        }
        worst = std::max(worst, static_cast<double>(last - first + 1) - allowed);
    }
    return worst;
}

} // namespace monsoonlift::quota::testing
