/// The gate: the part of a daemon that alone talks to its backend server.
#pragma once

#include "core/clock.h"
#include "execution/crash_guard.h"
#include "execution/execution_ledger.h"
#include "gate/backend_protocol.h"
#include "gate/gate_table.h"
#include "gate/nested_budgets.h"
#include "logging/event_log.h"
#include "metrics/metrics_registry.h"
#include "transport/frame_sender.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace monsoonlift::gate {

/// Sizes and times of a gate.
struct gate_options {
    bool decisions_on = true;
    std::size_t body_chunk_bytes = 64 * 1024;
    std::uint32_t body_credit_chunks = 8;
    std::chrono::milliseconds stall_patience{30'000}; ///< A body that moves no further is given up.
    std::chrono::milliseconds backend_silence{
        3'000}; ///< Without an announcement, the backend server is gone.
    backend_protocol protocol;
};

/// Totals since the start.
struct gate_counters {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t in_flight = 0; ///< Now, waiting or running.
};

/// Runs requests from entries on the local backend server. Thread-safe.
class gate_service {
public:
    gate_service(boost::asio::io_context& io, const gate_options& options, transport::frame_sender& sender,
                 execution::execution_ledger& ledger, execution::crash_guard& crashes,
                 nested_budgets& budgets, const core::clock& clock, logging::event_log& log,
                 metrics::metrics_registry& metrics);
    ~gate_service();
    gate_service(const gate_service&) = delete;
    gate_service& operator=(const gate_service&) = delete;

    /// Starts the timer that lets waiting calls expire.
    void start();

    /// The configuration's call classes, for the counters; call it from one strand.
    void set_classes(const std::vector<std::string>& names);

    /// Ends the timer.
    void stop();

    /// A frame for the gate; the transport calls it from several threads at once.
    void received(transport::frame message);

    /// A frame of this attempt could not be sent.
    void unsent(const core::attempt_id& attempt);

    /// The backend server announced itself; false if that start of it was replaced or said that it leaves, so
    /// that the announcement comes too late.
    bool announce(const backend_server& server);

    /// The backend server said that it leaves: nothing new reaches it from `at` on, and if it is gone sooner
    /// it has not crashed. Does nothing if `instance` is not empty and names another start than the one
    /// known. True if it does something.
    bool leave(const std::string& instance, core::steady_time at);

    /// Refuses new work from now on.
    void drain();

    /// Counts since the start.
    [[nodiscard]] gate_counters counters() const;

    /// The load that answers carry.
    [[nodiscard]] routing::load_report report() const;

    /// The backend server, or nothing while none is known.
    [[nodiscard]] std::optional<backend_server> backend() const;

private:
    class state;

    std::shared_ptr<state> m_state;
};

} // namespace monsoonlift::gate
