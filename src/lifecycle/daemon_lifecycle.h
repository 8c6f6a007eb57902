/// The phases of a daemon's life, from start to a graceful stop.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

namespace monsoonlift::lifecycle {

/// Phase of a daemon's life.
enum class phase {
    starting, ///< Sockets are opened; no peer and no configuration is known.
    joining,  ///< Waits for a configuration and for the fleet.
    serving,  ///< Takes calls.
    draining, ///< Takes no new work; work in flight goes on.
    stopped   ///< Nothing is left in flight; the process may end.
};

/// What moves a daemon from one phase to the next.
enum class signal { sockets_open, configuration_known, stop_asked, nothing_in_flight };

/// The spelling used by /ready, /status and logs.
[[nodiscard]] std::string_view to_string(phase value);

/// State machine over the phases. Not thread-safe: the owner calls it from one executor.
class daemon_lifecycle {
public:
    using phase_handler = std::function<void(phase)>;

    /// `on_enter` is called after each change of phase.
    explicit daemon_lifecycle(phase_handler on_enter);
    daemon_lifecycle(const daemon_lifecycle&) = delete;
    daemon_lifecycle& operator=(const daemon_lifecycle&) = delete;
    ~daemon_lifecycle();

    /// The phase now.
    [[nodiscard]] phase current() const;

    /// Takes a signal; one that means nothing in this phase changes nothing.
    void handle(signal received);

private:
    struct machine;

    std::unique_ptr<machine> m_machine;
};

} // namespace monsoonlift::lifecycle
