/// Requests that crash each backend server that runs them, recognised by content and caller.
///
/// When a backend server dies while its daemon lives, what was in flight becomes suspect everywhere. A gate
/// runs one suspect at a time, so that a second crash names its cause: whatever was in flight at both is
/// held, what was only there is not. A suspect that ends well at a gate is cleared there, and one that ended
/// well there a moment ago is not accused: so a popular request isn't held for servers that died while it
/// was there. Holds end by time or by an operator.
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

/// Times and bounds.
struct crash_limits {
    std::chrono::seconds suspicion{600}; ///< How long a suspect stays one.
    std::chrono::seconds hold{1800};     ///< How long a request is held.
    std::chrono::seconds proof{60};      ///< How long a good end speaks for a request.
    std::size_t suspects = 4096;
    std::size_t proven = 4096;  ///< Requests whose good ends are remembered.
    std::size_t reported = 100; ///< Fingerprints in one report.
};

/// One crash of one backend server.
struct crash_report {
    core::endpoint_id gate;
    std::uint64_t number = 0; ///< Rises at that gate.
    std::vector<request_fingerprint> in_flight;

    bool operator==(const crash_report&) const = default;
};

/// What is known of one suspect.
struct crash_suspect {
    unsigned crashes = 0;
    core::steady_time last;
    std::optional<core::steady_time> held_until;
};

/// What may be done with a request.
enum class crash_state : std::uint8_t { clear, suspect, held };

/// All that one daemon knows of crashes.
struct crash_book {
    crash_limits limits;
    std::map<request_fingerprint, crash_suspect> suspects;
    std::map<std::pair<core::endpoint_id, std::uint64_t>, core::steady_time> known; ///< Reports taken in.
};

/// Takes in a crash of this or another gate; returns the fingerprints that are held because of it.
std::vector<request_fingerprint> note_crash(crash_book& book, const crash_report& report,
                                            core::steady_time now);

/// What the book says of a request.
[[nodiscard]] crash_state look_up(const crash_book& book, request_fingerprint request, core::steady_time now);

/// An operator releases a request; its earlier crashes are forgotten.
void release(crash_book& book, request_fingerprint request);

/// An operator holds a request.
void hold(crash_book& book, request_fingerprint request, core::steady_time now);

/// Forgets what is past its time.
void expire(crash_book& book, core::steady_time now);

/// Payload of a rumor that tells a crash.
[[nodiscard]] std::string write_crash(const crash_report& report);

/// The report in a rumor's payload, or nothing if it is malformed.
[[nodiscard]] std::optional<crash_report> read_crash(std::string_view payload);

/// An operator's decision on one request.
struct crash_ruling {
    request_fingerprint request;
    bool held = false;        ///< Held from now on, or released.
    std::uint64_t number = 0; ///< Tells one decision from another about the same request.
};

/// Payload of a rumor that tells an operator's decision.
[[nodiscard]] std::string write_ruling(const crash_ruling& ruling);

/// The decision in a rumor's payload, or nothing if it is malformed.
[[nodiscard]] std::optional<crash_ruling> read_ruling(std::string_view payload);

} // namespace monsoonlift::execution
