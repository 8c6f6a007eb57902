/// Decides which calls run on the backend server, which wait and which are refused. Thread-safe; no I/O.
#pragma once

#include "admission/call_queue.h"
#include "admission/shedding.h"
#include "concurrency/concurrency_limit.h"
#include "core/clock.h"
#include "gate/types/backend_server.h"
#include "routing/routing_table.h"
#include "transport/types/frame.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <vector>

namespace monsoonlift::gate {

/// A refused call and the reason.
struct refusal {
    std::uint64_t run = 0;
    transport::end_reason reason = transport::end_reason::shed;
};

/// Runs to start and runs to refuse as the result of an event.
struct gate_changes {
    std::vector<std::uint64_t> started;
    std::vector<refusal> refused;
};

/// Overload decisions of one backend server.
class gate_table {
public:
    /// With `decisions_on` false, calls wait for a slot in order of arrival, and none is shed unless 100'000
    /// calls are waiting already.
    /// With `whole_chains`, calls of one class are started by the positions of their root calls, and overload
    /// is detected from the queue.
    explicit gate_table(bool decisions_on, bool whole_chains = false);

    /// Handles an announcement; true if the backend server is new or announced other values than before.
    bool announce(const backend_server& server, core::steady_time now);

    /// Handles a deregistration: the backend server gets no new requests from `at` on.
    void leave_at(core::steady_time at);

    /// Withdraws the backend server if the time given to leave_at() has been reached.
    [[nodiscard]] gate_changes withdraw_if_left(core::steady_time now);

    /// Whether a request may be sent to that incarnation of the backend server now.
    [[nodiscard]] bool may_reach(const backend_server& server, core::steady_time now) const;

    /// Removes a backend server that left, crashed or is silent; waiting calls are refused.
    [[nodiscard]] gate_changes withdraw();

    /// Refuses new calls from now on.
    void drain();

    /// Handles a new call; the result lists it if it starts or is refused, otherwise it waits.
    [[nodiscard]] gate_changes arrive(std::uint64_t run, const std::string& service,
                                      const core::call_context& context, core::steady_time now);

    /// Frees the slot of a run that ended.
    [[nodiscard]] gate_changes finish(concurrency::run_outcome outcome, std::chrono::nanoseconds service_time,
                                      core::steady_time now);

    /// Removes a call from the queue; false if it is not waiting.
    [[nodiscard]] bool cancel(std::uint64_t run);

    /// Updates the shed level, refuses waiting calls that can no longer end in time and starts those for
    /// which a slot is free; does nothing while decisions are off. Call it regularly.
    /// `lateness` is the time by which the timer that calls it fired too late.
    [[nodiscard]] gate_changes tick(core::steady_time now,
                                    std::chrono::nanoseconds lateness = std::chrono::nanoseconds::zero());

    /// Returns the load that answers report to entries.
    [[nodiscard]] routing::load_report report() const;

    /// Returns the time after which a refused caller may retry.
    [[nodiscard]] std::chrono::milliseconds retry_after() const;

    /// Returns the backend server, or nullopt while none is known.
    [[nodiscard]] std::optional<backend_server> backend() const;

    /// Whether new calls are refused because of drain().
    [[nodiscard]] bool is_draining() const;

private:
    [[nodiscard]] std::optional<transport::end_reason>
    reason_to_refuse(const std::string& service, const core::call_context& context, core::steady_time now);
    [[nodiscard]] gate_changes drop_backend();
    void take_outcome(const admission::queue_outcome& outcome, gate_changes& changes);
    void refuse_unserved(const admission::queue_outcome& outcome, gate_changes& changes);
    void start_waiting(gate_changes& changes, core::steady_time now);
    void start_in_order(gate_changes& changes);
    void start_by_class(gate_changes& changes, core::steady_time now);

    bool m_decisions_on;
    bool m_whole_chains;
    mutable std::mutex m_mutex;
    std::optional<backend_server> m_backend;
    core::steady_time m_leaves_at = core::steady_time::max();
    bool m_draining = false;
    admission::overload_state m_overload;
    admission::call_queue m_queue;
    concurrency::limit_state m_limit;
    std::uint32_t m_allowed = 1;          ///< Requests that may run, as of the last tick or announcement.
    std::deque<std::uint64_t> m_in_order; ///< Waiting calls by arrival; only used while decisions are off.
};

} // namespace monsoonlift::gate
