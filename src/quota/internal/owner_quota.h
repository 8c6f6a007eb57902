#pragma once

#include "logging/event_log.h"
#include "quota/lease.h"
#include "quota/quota_rules.h"
#include "quota/token_bucket.h"
#include "store/object_api.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace monsoonlift::quota::internal {

/// Shards of which this daemon may be the owner: contends for their leases and answers requests. tick() and
/// the store's handlers run on one strand; the others are thread-safe. Its mutex is a leaf in the lock order.
class owner_quota : public std::enable_shared_from_this<owner_quota> {
public:
    owner_quota(core::endpoint_id self, store::object_api& store, const core::clock& clock,
                logging::event_log& log);

    void set_limits(const account_limits& limits);

    /// Renews, reads or takes over the leases that are due; `candidates` holds those of each shard.
    void tick(const std::array<std::vector<core::endpoint_id>, shard_count>& candidates);

    /// Releases the leases with the next tick and contends for none any more.
    void release();

    /// Notes that the store may have been restored from a copy.
    void note_store_restored();

    [[nodiscard]] grant_message handle(const core::endpoint_id& from, const ask_message& request);

    /// Numbers of the shards that this daemon owns.
    [[nodiscard]] std::vector<std::uint32_t> held() const;

    [[nodiscard]] std::uint64_t granted() const { return m_granted; }

private:
    struct shard_state {
        lease_state lease;
        shard_owner owner;
        std::uint64_t tenure = 0; ///< In which `owner` was begun.
        bool was_held = false;    ///< As logged last.
        bool has_accounts = false;
    };

    /// Changes the state of a shard under the lock, then logs if the lease was gained or lost.
    void update(std::uint32_t shard, const std::function<void(shard_state&, core::boot_time)>& change);
    [[nodiscard]] lease_interest interest_in(const std::vector<core::endpoint_id>& candidates) const;
    void perform(std::uint32_t shard, const lease_step& step);
    void read(std::uint32_t shard);
    void write(std::uint32_t shard, const lease_step& step);

    const core::endpoint_id m_self;
    store::object_api& m_store;
    const core::clock& m_clock;
    logging::event_log& m_log;
    std::atomic<bool> m_leaves = false;
    std::atomic<std::uint64_t> m_granted = 0;
    mutable std::mutex m_mutex;
    account_limits m_limits;
    std::array<shard_state, shard_count> m_shards;
};

} // namespace monsoonlift::quota::internal
