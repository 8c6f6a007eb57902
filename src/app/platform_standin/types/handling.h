#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "store/object_wire.h"

namespace monsoonlift::platform_standin {

struct standin_state;

/// A request as received.
struct standin_request {
    std::string method;
    std::string target;
    std::string body;
};

/// An answer, and the faults to inject when it is sent.
struct standin_reply {
    unsigned status = 200;
    std::string body;
    std::chrono::milliseconds delay{0};
    bool lost = false; ///< The connection is closed and the answer isn't sent.
};

/// A watch that has no changes to report yet.
struct pending_watch {
    std::string prefix;
    std::uint64_t revision = 0;
    std::chrono::milliseconds patience{0};
    std::function<std::string(const store::watch_result&)> encode = [](const store::watch_result& changes) {
        return store::to_json(changes);
    };
};

/// No answer is sent; the connection is closed when the outage ends.
struct no_answer {};

/// Outcome of a call.
using handling = std::variant<standin_reply, pending_watch, no_answer>;

/// Handles calls on additional paths; returns nothing for a path that it doesn't serve.
using path_handler = std::function<std::optional<handling>(standin_state&, const standin_request&)>;

} // namespace monsoonlift::platform_standin
