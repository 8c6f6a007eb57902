#pragma once

#include "core/clock.h"
#include "logging/event_log.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace monsoonlift::entry::internal {

/// Outcome of an attempt, or of the decision whether to retry it.
enum class attempt_outcome_kind : std::uint8_t {
    whole,           ///< Answered with a status below 500: success or an error of the caller.
    server_error,    ///< Answered by the backend server with a server error.
    server_refused,  ///< The backend server refused the request without running it.
    gate_refused,    ///< Shed by the gate's threshold, queue or limit.
    unavailable,     ///< No backend server, draining, or not run because of its key or quarantine.
    broken,          ///< Aborted before a complete answer arrived.
    late,            ///< The deadline passed before an answer arrived.
    not_sent,        ///< No gate was chosen: the call was shed at the entry or no gate is known.
    retried,         ///< Another attempt follows.
    withheld_call,   ///< No retry: the retry budget of the root call is spent.
    withheld_daemon, ///< No retry: the retry budget of the daemon is spent.
};

/// Counts the outcomes of attempts per service and logs them at most once per second, for the services that
/// had any outcome other than `whole`. Thread-safe.
class attempt_counts {
public:
    attempt_counts(logging::event_log& log, const core::clock& clock);

    void count(const std::string& service, attempt_outcome_kind kind);

private:
    static constexpr std::size_t outcome_kinds =
        static_cast<std::size_t>(attempt_outcome_kind::withheld_daemon) + 1;
    using row = std::array<std::uint32_t, outcome_kinds>;
    using table = std::map<std::string, row>;

    void write(const table& counted, std::chrono::nanoseconds during);

    logging::event_log& m_log;
    const core::clock& m_clock;
    std::mutex m_mutex; ///< Innermost lock: the log is not written while it is held.
    table m_counted;
    core::steady_time m_began; ///< Start of the current interval.
};

} // namespace monsoonlift::entry::internal
