#pragma once

#include "logging/event_log.h"
#include "logging/event_throttle.h"
#include "quota/account_demand.h"
#include "quota/held_tokens.h"
#include "quota/quota_rules.h"
#include "quota/shards.h"
#include "quota/token_source.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace monsoonlift::quota::internal {

/// Tokens of this daemon's entry. Thread-safe; its mutex is a leaf in the lock order: messages are sent,
/// lines written and handlers called without it.
class entry_quota : public std::enable_shared_from_this<entry_quota> {
public:
    /// Sends a request to a daemon; called on any thread.
    using sender = std::function<void(const core::endpoint_id&, const ask_message&)>;

    entry_quota(sender send, const core::clock& clock, logging::event_log& log);

    void set_limits(const account_limits& limits);
    void set_candidates(const std::array<std::vector<core::endpoint_id>, shard_count>& candidates);

    [[nodiscard]] token_decision take(const std::string& account, core::steady_time deadline,
                                      token_source::handler done);
    void give_back(const taken_token& token);
    void handle(const core::endpoint_id& from, const grant_message& received);

    /// Decides about the calls that have waited long enough.
    void expire();

    /// Asks other daemons in place of those that did not answer, and every report_interval reports demand,
    /// asks in advance and returns tokens.
    void tick();

    [[nodiscard]] const account_demand& demands() const { return m_demands; }

    /// Calls by decision, since the start.
    struct totals {
        std::atomic<std::uint64_t> taken = 0;
        std::atomic<std::uint64_t> limited = 0;
        std::atomic<std::uint64_t> unanswered = 0;
    };
    [[nodiscard]] const totals& counters() const { return m_totals; }

    /// One account at this entry.
    struct account_status {
        std::string name;
        accounts::account_limit limit;
        std::uint64_t taken = 0;
        std::uint64_t limited = 0;
        std::uint64_t unanswered = 0;
        std::uint32_t tokens = 0;
    };
    [[nodiscard]] std::vector<account_status> accounts() const;

private:
    struct outgoing {
        core::endpoint_id to;
        ask_message message;
    };

    /// What follows from a change, to be done without the lock.
    struct effects {
        std::vector<outgoing> messages;
        std::vector<settled_call> settled;
    };

    void prepare(ask_message message, core::boot_time now, effects& then);
    void ask_for_shard(std::uint32_t shard, core::boot_time now, effects& then);
    void carry_out(const effects& then);
    void settle(const settled_call& call);
    void count(const std::string& account, const token_decision& decision);

    sender m_send;
    const core::clock& m_clock;
    logging::event_log& m_log;
    logging::event_throttle m_refused_lines;
    logging::event_throttle m_unanswered_lines;
    account_demand m_demands;
    totals m_totals;
    std::atomic<bool> m_has_limits = false;
    mutable std::mutex m_mutex;
    held_tokens m_tokens;
    account_limits m_limits;
    std::array<shard_route, shard_count> m_routes;
    core::boot_time m_reported;
    struct waiter {
        std::string account;
        token_source::handler done;
    };
    std::map<std::uint64_t, waiter> m_waiters;
};

} // namespace monsoonlift::quota::internal
