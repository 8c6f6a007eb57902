/// Phases of a daemon process, from start to graceful stop.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

namespace monsoonlift::lifecycle {

/// Phase of a daemon process.
enum class phase {
    starting, ///< Opens its sockets; no peer and no configuration is known yet.
    joining,  ///< Waits for a configuration and for the membership of the fleet.
    serving,  ///< Accepts calls.
    draining, ///< Accepts no new work; work in flight continues.
    stopped   ///< No work is in flight; the process may exit.
};

/// Event that may move a daemon from one phase to the next.
enum class signal { sockets_open, configuration_known, stop_requested, nothing_in_flight };

/// Returns the text form used by /ready, /status and logs.
[[nodiscard]] std::string_view to_string(phase value);

/// State machine of the phases. Not thread-safe: the owner calls it from one executor.
class daemon_lifecycle {
public:
    using phase_handler = std::function<void(phase)>;

    /// `on_enter` is called after each change of phase.
    explicit daemon_lifecycle(phase_handler on_enter);
    daemon_lifecycle(const daemon_lifecycle&) = delete;
    daemon_lifecycle& operator=(const daemon_lifecycle&) = delete;
    ~daemon_lifecycle();

    /// Returns the current phase.
    [[nodiscard]] phase current() const;

    /// Processes a signal; signals without a transition from the current phase are ignored.
    void handle(signal received);

private:
    struct machine;

    std::unique_ptr<machine> m_machine;
};

} // namespace monsoonlift::lifecycle
