/// Keeps this gate's part of the table of homes in the platform object `homes/<service>`.
///
/// serve() when the local backend server announces itself with a service that has non-idempotent calls;
/// drain() when this daemon stops. Without the platform nothing moves: holders go on, free slots stay free.
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

/// Times of the keeper.
struct home_keeper_options {
    std::chrono::milliseconds poll{10'000};       ///< Between reads, with jitter.
    std::chrono::milliseconds unknown_poll{1000}; ///< The same while calls ask for a home that is unknown.
    std::chrono::milliseconds first_take{
        1500}; ///< Before the first slots of a new service are taken, so that gates that
               ///< start together know each other and none takes more than its share.
    std::chrono::milliseconds retry_min{250}; ///< After a failure, doubling, with jitter.
    std::chrono::milliseconds retry_max{15'000};
    std::chrono::milliseconds call_patience{2000};
    std::chrono::milliseconds write_patience{
        6000}; ///< Longer than the platform's budget takes to allow a write.
    std::uint64_t random_seed = 0;
};

/// Runs the rules of home_table.h against the platform. Every method may be called from any thread.
class home_keeper {
public:
    /// The other gates of a service that take new work, as membership knows them.
    using other_gates = std::function<std::vector<core::endpoint_id>(const std::string& service)>;

    /// `scheduler` runs one task at a time and may be called from any thread.
    home_keeper(store::scheduler& scheduler, execution_ledger& ledger, store::object_api& platform,
                logging::event_log& log, other_gates others, home_keeper_options options);
    ~home_keeper();
    home_keeper(const home_keeper&) = delete;
    home_keeper& operator=(const home_keeper&) = delete;

    /// Takes part in the homes of a service; a repeated call does nothing.
    void serve(std::string service);

    /// Reads the table soon.
    void refresh();

    /// Hands every slot over; `done` is called once none is held here. In an outage it isn't called.
    void drain(std::function<void()> done);

    /// Ends all repetition.
    void stop();

private:
    std::shared_ptr<internal::home_writer> m_writer;
};

} // namespace monsoonlift::execution
