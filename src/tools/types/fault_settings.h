#pragma once

#include <string>

namespace monsoonlift::tools {

/// Faults of a backend stand-in that can be switched on while it runs.
struct fault_settings {
    double slow_factor = 1; ///< Service times are multiplied by it.
    double fail_fast = 0;   ///< Share of requests answered at once with 500.
    bool lie = false;       ///< /health and /load tell of an idle, healthy server.
    bool hang = false;      ///< Requests are taken and never answered.
    bool refuse = false;    ///< Requests are answered at once with 503.
    std::string crash_on;   ///< The process exits when a request's path or body holds this text.
};

} // namespace monsoonlift::tools
