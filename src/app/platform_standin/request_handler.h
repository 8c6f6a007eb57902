/// The object API's rules, apart from the sockets.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "app/platform_standin/standin_state.h"
#include "store/http_target.h"

namespace monsoonlift::platform_standin {

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
};

/// The call gets no answer while the outage lasts.
struct no_answer {};

/// What becomes of a call.
using handling = std::variant<standin_reply, pending_watch, no_answer>;

/// Carries out one call.
[[nodiscard]] handling handle(standin_state& state, const standin_request& request);

/// Looks again at a watch that waited; `expired` ends it with an empty result.
[[nodiscard]] handling resume(standin_state& state, const pending_watch& watch, bool expired);

} // namespace monsoonlift::platform_standin
