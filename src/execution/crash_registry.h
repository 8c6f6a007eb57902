/// Detects requests that crash every backend server that runs them; a request is identified by content and
/// caller.
///
/// When a backend server crashes while its daemon keeps running, the requests in flight there become suspects
/// on every daemon. A gate runs one suspect at a time, so that a second crash identifies its cause: requests
/// that were in flight at both crashes are held, those in flight at only one are not. A suspect that is
/// answered at a gate is cleared there, and a request that was answered there shortly before a crash isn't
/// suspected of it: a frequent request isn't held because servers crashed while it happened to be in flight.
/// A hold ends after a time or by an operator's release.
#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "execution/types/request_fingerprint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonlift::execution {

/// Durations and size bounds of crash tracking.
struct crash_limits {
    std::chrono::seconds suspicion{600}; ///< How long a request stays suspect after its latest crash.
    std::chrono::seconds hold{1800};     ///< How long a hold lasts after the latest crash or operator's hold.
    std::chrono::seconds answer_memory{60}; ///< How long an answer protects a request from suspicion.
    std::size_t max_suspects = 4096;        ///< Suspect and held requests that are tracked.
    std::size_t max_answered = 4096;        ///< Requests whose latest answer is remembered.
    std::size_t max_reported = 100;         ///< Largest number of fingerprints in one report.
};

/// One crash of one backend server.
struct crash_report {
    core::endpoint_id gate;
    std::uint64_t number = 0; ///< Increases with each report of that gate.
    std::vector<request_fingerprint> in_flight;

    bool operator==(const crash_report&) const = default;
};

/// A request that was in flight at a crash, or that an operator holds.
struct crash_suspect {
    unsigned crashes = 0;
    core::steady_time last;                      ///< Time of the latest crash or operator's hold.
    std::optional<core::steady_time> held_until; ///< Empty: suspect, not held.
};

/// Whether a request may run freely, only as the one suspect of its gate, or not at all.
enum class crash_state : std::uint8_t { clear, suspect, held };

/// Crash reports received by one daemon and the suspects that result.
struct crash_registry {
    crash_limits limits;
    std::map<request_fingerprint, crash_suspect> suspects;
    std::map<std::pair<core::endpoint_id, std::uint64_t>, core::steady_time>
        processed_reports; ///< Receipt times of the reports already processed.
};

/// Processes a crash report of this or another gate; returns the requests that are now held because of it.
std::vector<request_fingerprint> note_crash(crash_registry& registry, const crash_report& report,
                                            core::steady_time now);

/// Returns the state of a request.
[[nodiscard]] crash_state look_up(const crash_registry& registry, request_fingerprint request,
                                  core::steady_time now);

/// Releases a request on behalf of an operator and discards its crash count.
void release(crash_registry& registry, request_fingerprint request);

/// Holds a request on behalf of an operator.
void hold(crash_registry& registry, request_fingerprint request, core::steady_time now);

/// Removes suspects and reports whose retention time has passed.
void expire(crash_registry& registry, core::steady_time now);

/// Serializes a crash report as the payload of a rumor.
[[nodiscard]] std::string write_crash(const crash_report& report);

/// Parses a crash report from a rumor's payload; empty if it is malformed.
[[nodiscard]] std::optional<crash_report> read_crash(std::string_view payload);

/// An operator's decision on one request.
struct crash_ruling {
    request_fingerprint request;
    bool held = false;        ///< True: held from now on; false: released.
    std::uint64_t number = 0; ///< Distinguishes decisions about the same request.
};

/// Serializes an operator's decision as the payload of a rumor.
[[nodiscard]] std::string write_ruling(const crash_ruling& ruling);

/// Parses an operator's decision from a rumor's payload; empty if it is malformed.
[[nodiscard]] std::optional<crash_ruling> read_ruling(std::string_view payload);

} // namespace monsoonlift::execution
