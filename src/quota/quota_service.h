/// Limits on the calls of client accounts across the fleet: this daemon's entry takes tokens for root calls,
/// and owners grant them, of which this daemon may be one.
#pragma once

#include "accounts/account_table.h"
#include "logging/event_log.h"
#include "membership/member_directory.h"
#include "metrics/metrics_registry.h"
#include "quota/account_demand.h"
#include "quota/quota_rules.h"
#include "quota/token_bucket.h"
#include "quota/token_source.h"
#include "store/object_api.h"
#include "store/scheduler.h"
#include "transport/frame_sender.h"

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::quota {

namespace internal {
class entry_quota;
class owner_quota;
} // namespace internal

/// What a quota_service works with; all of it outlives the service and the calls in progress.
struct quota_parts {
    store::scheduler& scheduler; ///< Runs the tasks of the leases.
    /// Not limited by a budget that other calls to the store share: a lease that waits for it would be lost.
    /// The service bounds its own calls.
    store::object_api& store;
    const core::clock& clock;
    transport::frame_sender& sender;
    const membership::member_directory& directory;
    logging::event_log& log;
    std::function<bool()> has_joined; ///< Whether the member table is complete enough to choose owners.
};

/// One account at this daemon, for operators.
struct quota_account_status {
    std::string name;
    accounts::account_limit limit;
    double demand = 0; ///< Over the fleet, in calls a second.
    std::uint64_t taken = 0;
    std::uint64_t limited = 0;
    std::uint64_t unanswered = 0;
};

/// State of the quotas at this daemon, for operators.
struct quota_status {
    std::vector<std::uint32_t> owned_shards;
    std::vector<quota_account_status> accounts;
};

/// Thread-safe. Without accounts that have a limit it sends nothing and sets no timer.
class quota_service final : public token_source, public std::enable_shared_from_this<quota_service> {
public:
    explicit quota_service(quota_parts parts);
    ~quota_service() override;
    quota_service(const quota_service&) = delete;
    quota_service& operator=(const quota_service&) = delete;

    /// Sets the accounts with limits of the configuration in force, and starts as soon as there is one.
    void set_limits(const account_limits& limits);

    [[nodiscard]] token_decision take(const std::string& account, core::steady_time deadline,
                                      handler done) override;
    void give_back(const taken_token& token) override;

    /// Handles a control message of the topic quota; `from` is its sender.
    void received(const core::endpoint_id& from, std::string_view payload);

    /// Begins a planned stop: releases the leases after release_delay, in which another daemon becomes the
    /// candidate.
    void drain();

    /// Stops the timer.
    void stop();

    /// Reports that the store may have been restored from a copy.
    void note_store_restored();

    /// The demand of each account over the fleet.
    [[nodiscard]] const account_demand& demands() const;

    [[nodiscard]] quota_status status() const;

    void add_metrics(metrics::metrics_registry& metrics);

private:
    void start();
    void tick();
    void run_step();
    void send(const core::endpoint_id& to, std::string payload, std::chrono::milliseconds patience);
    void handle(const core::endpoint_id& from, std::string_view payload);

    const quota_parts m_parts;
    const std::shared_ptr<internal::owner_quota> m_owner;
    const std::shared_ptr<internal::entry_quota> m_entry;
    /// Candidates of each shard; used by run_step() only.
    std::array<std::vector<core::endpoint_id>, shard_count> m_candidates;
    core::boot_time m_chosen; ///< When the candidates were determined last; used by run_step() only.
    std::atomic<bool> m_has_limits = false;
    std::atomic<bool> m_is_ticking = false;
    std::atomic<bool> m_stopped = false;
};

/// Returns the limits of the accounts that have one.
[[nodiscard]] account_limits limits_of(const accounts::account_table& table);

} // namespace monsoonlift::quota
