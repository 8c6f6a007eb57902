/// Who may run on the backend server, who waits and who is refused. Thread-safe; no I/O.
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

/// A call that is refused, and why.
struct refusal {
    std::uint64_t run = 0;
    transport::end_reason reason = transport::end_reason::shed;
};

/// What follows from an event: runs that start now and runs that are refused.
struct gate_changes {
    std::vector<std::uint64_t> started;
    std::vector<refusal> refused;
};

/// Overload decisions of one backend server.
class gate_table {
public:
    /// With `decisions_on` false every call waits for a slot in order of arrival and none is refused.
    explicit gate_table(bool decisions_on);

    /// A backend server announced itself; true if it is a new one or changed what it says.
    bool announce(const backend_server& server, core::steady_time now);

    /// The backend server leaves: nothing new reaches it from `at` on.
    void leave_at(core::steady_time at);

    /// Withdraws the backend server if it said that it leaves and its time is over.
    [[nodiscard]] gate_changes drop_left(core::steady_time now);

    /// Whether a request may be handed to that start of the backend server now.
    [[nodiscard]] bool may_reach(const backend_server& server, core::steady_time now) const;

    /// The backend server left or is silent; those that wait are refused.
    [[nodiscard]] gate_changes withdraw();

    /// From now on no new call is taken.
    void drain();

    /// A call arrives; the changes name it if it starts or is refused, otherwise it waits.
    [[nodiscard]] gate_changes arrive(std::uint64_t run, const std::string& service,
                                      const core::call_context& context, core::steady_time now);

    /// A run ended; its slot is free.
    [[nodiscard]] gate_changes finish(concurrency::run_outcome outcome, std::chrono::nanoseconds service_time,
                                      core::steady_time now);

    /// Takes a call out of the queue; false if it does not wait.
    [[nodiscard]] bool cancel(std::uint64_t run);

    /// Lets time pass for those that wait.
    [[nodiscard]] gate_changes tick(core::steady_time now);

    /// What entries learn from each answer.
    [[nodiscard]] routing::load_report report() const;

    /// How long a refused caller should stay away.
    [[nodiscard]] std::chrono::milliseconds retry_after() const;

    /// The backend server, or nothing while none is known.
    [[nodiscard]] std::optional<backend_server> backend() const;

    /// Whether new work is refused.
    [[nodiscard]] bool is_draining() const;

private:
    [[nodiscard]] std::optional<transport::end_reason>
    reason_to_refuse(const std::string& service, const core::call_context& context, core::steady_time now);
    [[nodiscard]] gate_changes drop_backend();
    void take_outcome(const admission::queue_outcome& outcome, gate_changes& changes);
    void start_waiting(gate_changes& changes, core::steady_time now);
    void start_in_order(gate_changes& changes);
    void start_by_class(gate_changes& changes, core::steady_time now);

    bool m_decisions_on;
    mutable std::mutex m_mutex;
    std::optional<backend_server> m_backend;
    core::steady_time m_leaves_at = core::steady_time::max();
    bool m_draining = false;
    admission::overload_state m_overload;
    admission::call_queue m_queue;
    concurrency::limit_state m_limit;
    std::deque<std::uint64_t> m_in_order; ///< Those that wait while decisions are off.
};

} // namespace monsoonlift::gate
