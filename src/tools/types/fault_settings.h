#pragma once

#include <string>

namespace monsoonlift::tools {

/// Faults that can be injected into a running backend stand-in.
struct fault_settings {
    double slow_factor = 1; ///< Factor by which service times are multiplied.
    double fail_fast = 0;   ///< Share of requests (0 to 1) answered immediately with 500.
    bool lie = false;       ///< /health and /load report a healthy, idle server.
    bool hang = false;      ///< Requests take a slot and hold it for an hour without an answer.
    bool refuse = false;    ///< Requests are answered immediately with 503.
    std::string crash_on; ///< The process exits if a request's target or body contains this; empty for never.
};

} // namespace monsoonlift::tools
