/// Maintains this gate's slots of the home table, the platform object `homes/<service>`.
///
/// Call serve() when the local backend server announces itself with a service that has non-idempotent calls,
/// and drain() when this daemon stops. While the platform is unavailable no slot changes its holder: holders
/// keep their slots, free slots stay free.
#pragma once

#include "execution/execution_ledger.h"
#include "logging/event_log.h"
#include "store/object_api.h"
#include "store/scheduler.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoonlift::execution {

namespace internal {
class home_writer;
} // namespace internal

/// Intervals and timeouts of home_keeper.
struct home_keeper_options {
    std::chrono::milliseconds poll{10'000};            ///< Interval between reads, with jitter.
    std::chrono::milliseconds unknown_home_poll{1000}; ///< The same while keys with unknown homes arrive.
    std::chrono::milliseconds first_claim_delay{
        1500}; ///< Delay before the first slots of a new service are claimed, so that gates
               ///< that start together know each other and none claims more than its share.
    std::chrono::milliseconds retry_min{250};      ///< First delay after a failure; doubles, with jitter.
    std::chrono::milliseconds retry_max{15'000};   ///< Largest delay after a failure.
    std::chrono::milliseconds call_patience{2000}; ///< Timeout of a read.
    std::chrono::milliseconds write_patience{
        6000}; ///< Timeout of a write; longer than the platform's budget takes to allow one.
    std::uint64_t random_seed = 0;
};

/// Applies the rules of home_table.h to the platform object. Every method may be called from any thread.
class home_keeper {
public:
    /// Returns the other gates of a service that accept new requests, according to membership.
    using other_gates = std::function<std::vector<core::endpoint_id>(const std::string& service)>;

    /// `scheduler` runs one task at a time and may be called from any thread.
    home_keeper(store::scheduler& scheduler, execution_ledger& ledger, store::object_api& platform,
                logging::event_log& log, other_gates others, home_keeper_options options);
    ~home_keeper();
    home_keeper(const home_keeper&) = delete;
    home_keeper& operator=(const home_keeper&) = delete;

    /// Starts to hold slots of a service; only the first call has an effect.
    void serve(std::string service);

    /// Reads the table now, or again after the round in progress.
    void refresh();

    /// Hands all slots over and calls `done` once none is held here. `done` isn't called while the platform
    /// is unavailable.
    void drain(std::function<void()> done);

    /// Stops all periodic reads and writes.
    void stop();

private:
    std::shared_ptr<internal::home_writer> m_writer;
};

} // namespace monsoonlift::execution
