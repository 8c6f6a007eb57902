#pragma once

#include "execution/home_keeper.h"

#include <memory>
#include <random>
#include <string>

namespace monsoonlift::execution::internal {

/// Implementation of home_keeper: runs on the scheduler, with at most one read or write outstanding.
class home_writer : public std::enable_shared_from_this<home_writer> {
public:
    home_writer(store::scheduler& scheduler, execution_ledger& ledger, store::object_api& platform,
                logging::event_log& log, home_keeper::other_gates others, const home_keeper_options& options);

    /// Runs `step` on the scheduler unless stop() has run; may be called from any thread.
    void post(std::function<void(home_writer&)> step);

    // The functions below must run on the scheduler.
    void serve(const std::string& service);
    void refresh();
    void refresh_soon();
    void refresh_for_unknown();
    void drain(std::function<void()> done);
    void stop();

private:
    template <class T>
    store::object_api::handler<T>
    on_scheduler(std::function<void(home_writer&, const T&)> on_value,
                 std::function<void(home_writer&, const core::error&)> on_error);
    void begin_round();
    void read();
    void handle_read(const store::object& found);
    void read_failed(const core::error& failure);
    void plan();
    void write(std::uint64_t expected_version, const home_table& table, bool is_proposal);
    void written(std::uint64_t version, bool is_proposal);
    void write_failed(const core::error& failure, bool is_proposal);
    void end_round();
    void retry_later();
    void wait(std::chrono::milliseconds pause);
    [[nodiscard]] std::chrono::milliseconds jittered(std::chrono::milliseconds pause);
    [[nodiscard]] std::string object_name() const;

    store::scheduler& m_scheduler;
    execution_ledger& m_ledger;
    store::object_api& m_platform;
    logging::event_log& m_log;
    home_keeper::other_gates m_others;
    home_keeper_options m_options;
    std::mt19937_64 m_random;
    std::chrono::milliseconds m_retry{0}; ///< Delay after the latest failure; 0 after a success.
    std::string m_service;
    std::function<void()> m_drained;
    bool m_leaves = false;                ///< drain() was called.
    std::uint64_t m_last_wait = 0;        ///< Number of the latest wait; only that wait starts a round.
    bool m_claim_delay_started = false;   ///< first_claim_delay was started; it is waited for only once.
    bool m_early_round_scheduled = false; ///< The next round is scheduled earlier than the regular poll.
    bool m_busy = false;                  ///< A call to the platform is outstanding.
    bool m_round_requested = false;       ///< Another round was requested during the current one.
    bool m_stopped = false;
};

} // namespace monsoonlift::execution::internal
