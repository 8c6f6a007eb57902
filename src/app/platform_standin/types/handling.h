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

/// A call as it came.
struct standin_request {
    std::string method;
    std::string target;
    std::string body;
};

/// What to answer, and how the faults spoil it.
struct standin_reply {
    unsigned status = 200;
    std::string body;
    std::chrono::milliseconds delay{0};
    bool lost = false; ///< The connection closes instead of carrying the answer.
};

/// A watch that has nothing to tell yet.
struct pending_watch {
    std::string prefix;
    std::uint64_t revision = 0;
    std::chrono::milliseconds patience{0};
    std::function<std::string(const store::watch_result&)> encode = [](const store::watch_result& changes) {
        return store::to_json(changes);
    };
};

/// The call gets no answer while the outage lasts.
struct no_answer {};

/// What becomes of a call.
using handling = std::variant<standin_reply, pending_watch, no_answer>;

/// Carries out calls on further paths; nothing for a path that is not its own.
using path_handler = std::function<std::optional<handling>(standin_state&, const standin_request&)>;

} // namespace monsoonlift::platform_standin
