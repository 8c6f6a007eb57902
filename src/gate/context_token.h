/// The text of the Monsoonlift-Context header, which a backend server passes on in its nested calls.
#pragma once

#include "core/clock.h"
#include "core/types/call_context.h"
#include "core/types/call_ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::gate {

/// Parsed header. `run` and `deadline` are meaningful only to the daemon incarnation that issued the token.
struct context_token {
    core::root_id root;
    std::uint32_t depth = 0; ///< Call depth of the request that carries the token.
    core::class_rank rank = 0;
    core::steady_time deadline;
    std::uint64_t run = 0;
    core::incarnation issuer;
    std::string account;                   ///< As in the call's context; not part of the header's text.
    std::optional<std::uint32_t> position; ///< As in the call's context; not part of the header's text.
    std::uint32_t work_spent = 0;          ///< As in the call's context; not part of the header's text.
};

/// Formats a token as the header's value.
[[nodiscard]] std::string to_string(const context_token& token);

/// Parses the header's value; nullopt if it is malformed.
[[nodiscard]] std::optional<context_token> parse_context_token(std::string_view text);

} // namespace monsoonlift::gate
