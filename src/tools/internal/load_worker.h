#pragma once

#include "tools/internal/caller_pool.h"
#include "tools/load_result.h"
#include "tools/load_run.h"
#include "tools/types/scenario.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace monsoonlift::tools::internal {

/// One thread's share of a load run, with its own arrivals, connections and results.
class load_worker {
public:
    /// `index` must be unique to the worker; `start` is the same for all workers of a run.
    load_worker(const scenario& run, std::size_t index, std::chrono::steady_clock::time_point start,
                call_observer observer);

    /// Runs the scenario to its end on the calling thread.
    void run();

    /// Returns one result for each class of calls; complete after run().
    [[nodiscard]] const std::vector<class_result>& results() const { return m_results; }

private:
    struct call_state;

    boost::asio::awaitable<void> generate(std::size_t class_index);
    boost::asio::awaitable<void> make_call(std::size_t class_index,
                                           std::chrono::steady_clock::time_point intended);
    boost::asio::awaitable<attempt_report> attempt(const call_state& call);
    boost::asio::awaitable<attempt_report> exchange(caller_connection& connection, const call_state& call);
    boost::asio::awaitable<void> wait_until(std::chrono::steady_clock::time_point time);
    [[nodiscard]] std::string make_key();
    [[nodiscard]] const std::string& next_target(std::size_t class_index);
    [[nodiscard]] caller_pool& pool_of(const std::string& target);
    void finish(const call_report& call);

    const scenario& m_run;
    std::size_t m_index;
    std::chrono::steady_clock::time_point m_start;
    call_observer m_observer;
    boost::asio::io_context m_context;
    std::mt19937_64 m_random;
    std::uint64_t m_next_call = 0;
    std::vector<std::string> m_bodies;
    std::vector<std::string> m_body_digests;
    std::vector<std::size_t> m_next_target;
    std::map<std::string, caller_pool> m_pools;
    std::vector<class_result> m_results;
};

} // namespace monsoonlift::tools::internal
