/// Quarantine at a gate, thread-safe, for every request, idempotent or not. How a gate uses it:
///
///   1. Call admit() before a request is queued. Refuse `held` and `busy` with not_run, `busy` with
///      Retry-After.
///   2. After `admitted`, call end() exactly once, when the request no longer runs.
///   3. Call report_backend_crash() when the backend server crashed: it wasn't withdrawn, this daemon still
///   runs, a
///      connection broke and new connections are refused.
///
/// Crash reports are sent through the `spread` function and, like those of other gates, received through
/// receive_rumor().
#pragma once

#include "core/clock.h"
#include "execution/crash_registry.h"
#include "logging/event_log.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoonlift::execution {

/// Topics of the rumors that this module sends and receives.
inline constexpr std::uint32_t crash_topic = 1;
inline constexpr std::uint32_t ruling_topic = 2;

/// Whether a gate may run a request.
enum class admittance : std::uint8_t {
    admitted,
    busy, ///< The request is suspect and another suspect is running here: retry later.
    held  ///< The request crashed two backend servers, or an operator holds it.
};

/// How an admitted request ended: evidence of whether it crashed the backend server.
enum class run_ending : std::uint8_t {
    answered, ///< The backend server answered it completely.
    unclear,  ///< The request did not run, or was abandoned before it ended.
    broken    ///< The backend server closed the connection before the answer was complete.
};

/// A held or suspect request, as listed for operators.
struct quarantined_request {
    request_fingerprint request;
    unsigned crashes = 0;
    bool held = false;            ///< False: suspect.
    std::chrono::seconds left{0}; ///< Time until the hold or suspicion ends.
};

/// Thread-safe crash tracking of one daemon.
class crash_guard {
public:
    /// Sends a rumor to every daemon.
    using spreader = std::function<void(std::uint32_t topic, std::string payload)>;

    crash_guard(const core::clock& clock, core::endpoint_id self, crash_limits limits,
                logging::event_log& log, spreader spread);

    /// Returns whether a request may run here; if it is admitted, counts it as in flight.
    [[nodiscard]] admittance admit(request_fingerprint request);

    /// Records that an admitted request no longer runs.
    void end(request_fingerprint request, run_ending ending);

    /// Reports a crash of the backend server; the requests in flight become suspects on every daemon.
    void report_backend_crash();

    /// Processes a received rumor of one of this module's topics.
    void receive_rumor(std::uint32_t topic, const std::string& payload);

    /// Holds or releases a request on every daemon on behalf of an operator.
    void rule(request_fingerprint request, bool held);

    /// Returns the requests that are suspect or held now.
    [[nodiscard]] std::vector<quarantined_request> requests() const;

    /// Removes entries whose retention time has passed; call it about once per second.
    void expire();

private:
    struct broken_request {
        request_fingerprint request;
        core::steady_time time;
    };

    [[nodiscard]] std::vector<request_fingerprint> take_in_flight(core::steady_time now);
    void record_answered(request_fingerprint request, core::steady_time now);
    [[nodiscard]] bool answered_recently(request_fingerprint request, core::steady_time now) const;
    void note(const crash_report& report, core::steady_time now);

    const core::clock& m_clock;
    core::endpoint_id m_self;
    logging::event_log& m_log;
    spreader m_spread;
    mutable std::mutex m_mutex;
    crash_registry m_registry;
    std::map<request_fingerprint, unsigned> m_in_flight;
    std::vector<broken_request> m_broken; ///< Requests that recently ended with a broken connection.
    std::unordered_map<request_fingerprint, core::steady_time, fingerprint_hash>
        m_answered;                                       ///< Latest answer since a crash here.
    std::optional<request_fingerprint> m_running_suspect; ///< The suspect running here now, if any.
    std::uint64_t m_reports = 0;                          ///< Number of the latest report sent by this gate.
};

} // namespace monsoonlift::execution
