/// Quarantine at a gate, thread-safe, for every request, idempotent or not. How a gate uses it:
///
///   1. Before a request waits: admit(). `held` and `busy` are refused with not_run; Retry-After for `busy`.
///   2. With `admitted`, exactly one end() when the request no longer runs.
///   3. When the backend server died while this daemon lives and hasn't been withdrawn (a broken connection,
///   and
///      new connections are refused): backend_died().
///
/// Reports go out through the function given and come back through take_rumor(), as those of other gates do.
#pragma once

#include "core/clock.h"
#include "execution/crash_book.h"
#include "logging/event_log.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace monsoonlift::execution {

/// Topics of the rumors that this module sends and reads.
inline constexpr std::uint32_t crash_topic = 1;
inline constexpr std::uint32_t ruling_topic = 2;

/// What a gate does with a request.
enum class admittance : std::uint8_t {
    admitted,
    busy, ///< It is suspect, and another suspect runs here now: later.
    held  ///< It crashed two backend servers.
};

/// How an admitted request ended, as far as its guilt goes.
enum class run_ending : std::uint8_t {
    answered, ///< The backend server lived through it.
    unclear,  ///< It did not run, or was given up before its end.
    broken    ///< The backend server closed the connection without a whole answer.
};

/// A request that is held or suspect, for operators.
struct quarantined_request {
    request_fingerprint request;
    unsigned crashes = 0;
    bool held = false;
    std::chrono::seconds left{0}; ///< Until it is released by time.
};

/// The crash book of one daemon.
class crash_guard {
public:
    /// Spreads a payload to every daemon.
    using spreader = std::function<void(std::uint32_t topic, std::string payload)>;

    crash_guard(const core::clock& clock, core::endpoint_id self, crash_limits limits,
                logging::event_log& log, spreader spread);

    /// Asks whether a request may run here; counts it as in flight if so.
    [[nodiscard]] admittance admit(request_fingerprint request);

    /// An admitted request no longer runs.
    void end(request_fingerprint request, run_ending ending);

    /// The backend server died; what was in flight becomes suspect everywhere.
    void backend_died();

    /// A rumor of one of this module's topics.
    void take_rumor(std::uint32_t topic, const std::string& payload);

    /// An operator holds or releases a request, everywhere.
    void rule(request_fingerprint request, bool held);

    /// What is suspect or held now.
    [[nodiscard]] std::vector<quarantined_request> requests() const;

    /// Forgets what is past its time; call it about once a second.
    void expire();

private:
    struct broken_request {
        request_fingerprint request;
        core::steady_time time;
    };

    [[nodiscard]] std::vector<request_fingerprint> take_in_flight(core::steady_time now);
    void note_well(request_fingerprint request, core::steady_time now);
    [[nodiscard]] bool is_proven(request_fingerprint request, core::steady_time now) const;
    void note(const crash_report& report, core::steady_time now);

    const core::clock& m_clock;
    core::endpoint_id m_self;
    logging::event_log& m_log;
    spreader m_spread;
    mutable std::mutex m_mutex;
    crash_book m_book;
    std::map<request_fingerprint, unsigned> m_in_flight;
    std::vector<broken_request> m_broken; ///< Ended by a broken connection a moment ago.
    std::map<request_fingerprint, core::steady_time> m_ended_well; ///< Latest, since the last crash here.
    std::optional<request_fingerprint> m_on_trial;                 ///< The suspect that runs here now.
    std::uint64_t m_reports = 0;
};

} // namespace monsoonlift::execution
