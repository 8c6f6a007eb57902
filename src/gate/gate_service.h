/// The gate: the only part of a daemon that exchanges requests with its backend server.
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

/// Buffer sizes and timeouts of a gate.
struct gate_options {
    bool decisions_on = true;
    bool whole_chains = false; ///< Chains are admitted as a whole; has no effect while decisions are off.
    std::size_t body_chunk_bytes = 64 * 1024;
    std::uint32_t body_credit_chunks = 8;
    std::chrono::milliseconds stall_patience{
        30'000}; ///< Time for which an entry may take nothing of an answer.
    std::chrono::milliseconds backend_silence_timeout{
        3'000}; ///< Longest gap between announcements before withdrawal.
    backend_protocol protocol;
};

/// Totals since the gate was created.
struct gate_counters {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t in_flight = 0; ///< Calls that wait or run now.
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

    /// Starts the periodic timer that expires waiting calls and old records and detects a silent backend
    /// server.
    void start();

    /// Sets the configuration's call classes, by which counters are kept; call it from one strand.
    void set_classes(const std::vector<std::string>& names);

    /// Stops the periodic timer.
    void stop();

    /// Handles a frame for the gate; the transport calls it from several threads at once.
    void received(transport::frame message);

    /// Cancels the attempt because one of its frames could not be sent.
    void unsent(const core::attempt_id& attempt);

    /// Ends the attempt of a frame for the gate whose handling an internal error ended; its entry is told.
    void failed(const transport::frame& message);

    /// Handles an announcement of the backend server; false if it comes too late, as that incarnation was
    /// replaced or has deregistered.
    bool announce(const backend_server& server);

    /// Handles a deregistration of the backend server: it gets no new requests from `at` on, and its
    /// disappearance before that is not a crash. Ignored, with the result false, if `instance` is not empty
    /// and differs from the non-empty instance of the known backend server.
    bool leave(const std::string& instance, core::steady_time at);

    /// Refuses new calls from now on.
    void drain();

    /// Returns the totals since the gate was created.
    [[nodiscard]] gate_counters counters() const;

    /// Returns the load that is attached to answers.
    [[nodiscard]] routing::load_report report() const;

    /// Returns the backend server, or nullopt while none is known.
    [[nodiscard]] std::optional<backend_server> backend() const;

private:
    class state;

    std::shared_ptr<state> m_state;
};

} // namespace monsoonlift::gate
