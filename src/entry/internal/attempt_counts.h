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

/// What became of an attempt at a service, or of the wish for another one.
enum class attempt_fate : std::uint8_t {
    whole,           ///< Answered with success, or with a failure that is the caller's.
    server_error,    ///< Answered by the backend server with a server error.
    server_refused,  ///< The backend server said that it did not run it.
    gate_refused,    ///< Shed by the gate's threshold, queue or limit.
    unavailable,     ///< No backend server there, draining, or held back for its key.
    broken,          ///< Broke off.
    late,            ///< The deadline passed.
    not_sent,        ///< No gate was chosen: shed at the entry, or none is known.
    retried,         ///< Another attempt follows.
    withheld_call,   ///< No other attempt: the budget of the root call is spent.
    withheld_daemon, ///< No other attempt: that of the daemon is.
};

/// Counts the fates of attempts for each service, and writes them once a second for the services of which any
/// attempt did not end whole. Thread-safe.
class attempt_counts {
public:
    attempt_counts(logging::event_log& log, const core::clock& clock);

    void count(const std::string& service, attempt_fate fate);

private:
    static constexpr std::size_t fates = static_cast<std::size_t>(attempt_fate::withheld_daemon) + 1;
    using row = std::array<std::uint32_t, fates>;
    using table = std::map<std::string, row>;

    void write(const table& counted, std::chrono::nanoseconds during);

    logging::event_log& m_log;
    const core::clock& m_clock;
    std::mutex m_mutex; ///< A leaf: nothing is written while it is held.
    table m_counted;
    core::steady_time m_began;
};

} // namespace monsoonlift::entry::internal
