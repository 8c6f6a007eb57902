#pragma once

#include "core/clock.h"
#include "core/types/call_context.h"
#include "core/types/call_ids.h"
#include "core/types/verdict.h"
#include "routing/routing_table.h"
#include "transport/types/end_reason.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace monsoonlift::transport {

/// One HTTP header field.
struct header {
    std::string name;
    std::string value;
};

/// What the sender of a body knows of it at its end.
struct body_total {
    std::uint64_t length = 0;
    std::uint64_t digest = 0; ///< XXH3 of all bytes sent.
};

/// Begins an attempt. Carries the first bytes of the body; `total` is there when they are all of it.
struct request_head {
    std::string reply_address; ///< Transport address of the entry.
    core::call_context context;
    std::string service;
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
    std::optional<body_total> total;
    core::wall_time expires = core::wall_time::max(); ///< The deadline by wall time.
    std::uint64_t homes_version = 0;                  ///< Latest table of homes that the entry knows.
};

/// The end of an attempt as its gate saw it.
struct attempt_end {
    core::verdict run = core::verdict::may_have_run;
    end_reason reason = end_reason::answered;
    std::string detail;
    std::optional<std::chrono::milliseconds> retry_after;
    /// Attempts spent by nested calls beyond their first; nothing if that is not known.
    std::optional<std::uint32_t> nested_attempts;
    std::optional<routing::load_report> load;
    admission::shed_level nested_level; ///< Strictest threshold that nested calls met further down.
    std::chrono::microseconds service_time{0};
    core::endpoint_id home; ///< With wrong_home.
    std::uint64_t homes_version = 0;
};

/// Begins an answer. `total` and `end` are there when `body` is the whole body.
struct response_head {
    std::uint32_t status = 0;
    std::string reason;
    std::vector<header> headers;
    std::string body;
    std::optional<body_total> total;
    attempt_end end;
};

/// A piece of a body; sent only against credit.
struct body_chunk {
    std::uint64_t offset = 0;
    std::string data;
};

/// The end of a body sent in chunks; of an answer, the end of the attempt too.
struct body_end {
    body_total total;
    std::optional<attempt_end> end;
};

/// Permission to send that many more chunks.
struct credit {
    std::uint32_t chunks = 0;
};

/// Asks the gate to give an attempt up.
struct cancel {};

/// Which part of the receiving daemon a frame is for.
enum class frame_target { entry, gate };

/// One message between daemons.
struct frame {
    core::incarnation receiver;
    core::incarnation sender;
    core::attempt_id attempt;
    frame_target target = frame_target::gate;
    std::variant<request_head, response_head, body_chunk, body_end, credit, cancel, attempt_end> payload;
};

/// Bulk frames travel on a connection of their own, so that small calls don't wait behind them.
[[nodiscard]] inline bool is_bulk(const frame& message) {
    return std::holds_alternative<body_chunk>(message.payload) ||
           std::holds_alternative<body_end>(message.payload);
}

} // namespace monsoonlift::transport
