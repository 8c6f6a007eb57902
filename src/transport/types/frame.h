#pragma once

#include "core/clock.h"
#include "core/types/call_context.h"
#include "core/types/call_ids.h"
#include "core/types/verdict.h"
#include "routing/routing_table.h"
#include "transport/types/end_reason.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace monsoonlift::transport {

/// One HTTP header field.
struct header {
    std::string name;
    std::string value;
};

/// Length and digest of a body, computed by its sender.
struct body_total {
    std::uint64_t length = 0;
    std::uint64_t digest = 0; ///< XXH3 of all bytes sent.
};

/// Begins an attempt. Carries the first bytes of the body; `total` is set only if `body` is the complete
/// body.
struct request_head {
    std::string reply_address; ///< Transport address of the entry.
    std::string gate_address;  ///< Transport address that the request is sent to.
    core::call_context context;
    std::string service;
    std::string kind = {}; ///< Kind of the call; empty unless chains are admitted as a whole.
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
    std::optional<body_total> total;
    core::wall_time expires = core::wall_time::max(); ///< Deadline in wall-clock time; max() if absent.
    std::uint64_t homes_version = 0; ///< Version of the latest home table that the entry has received.
};

/// Outcome of an attempt, as reported by its gate.
struct attempt_end {
    core::verdict run = core::verdict::may_have_run;
    end_reason reason = end_reason::answered;
    std::string detail;
    std::optional<std::chrono::milliseconds> retry_after;
    /// Attempts made by nested calls beyond the first attempt of each; empty if the number is not known.
    std::optional<std::uint32_t> nested_attempts;
    std::optional<std::uint32_t> nested_calls; ///< Calls that the run made; empty if not known.
    std::optional<routing::load_report> load;
    admission::shed_level nested_level; ///< Strictest shed level that the nested calls of the request met.
    std::chrono::microseconds service_time{0};
    core::endpoint_id home; ///< The home of the key; set only if `reason` is wrong_home.
    std::uint64_t homes_version = 0;
    /// The incarnation that the request was sent to, if a later one at the same address reports its end.
    core::incarnation successor_of;
};

/// Begins an answer. `total` and `end` are set only if `body` is the complete body.
struct response_head {
    std::uint32_t status = 0;
    std::string reason;
    std::vector<header> headers;
    std::string body;
    std::optional<body_total> total;
    attempt_end end;
};

/// A piece of a body; sent only while the sender has credit.
struct body_chunk {
    std::uint64_t offset = 0;
    std::string data;
};

/// Ends a body sent in chunks; `end` is set for answers only, as it also ends the attempt.
struct body_end {
    body_total total;
    std::optional<attempt_end> end;
};

/// Allows the receiver to send `chunks` more body chunks.
struct credit {
    std::uint32_t chunks = 0;
};

/// Cancels an attempt at its gate.
struct cancel {};

/// Asks a gate whether it still has an attempt.
struct status_query {};

/// Tells an entry that its gate has the attempt, running or waiting.
struct status_in_progress {};

/// Opens a connection. The sender numbers the frames of a link, across its connections; the frames that
/// follow on this connection are numbered from `first_sequence` on, so the receiver can drop those it has
/// received.
struct link_opening {
    std::uint64_t link = 0; ///< Number of the link, unique for the sender's incarnation.
    std::uint64_t first_sequence = 0;
};

/// Owner of a control message at the receiving daemon.
enum class control_topic : std::uint8_t {
    freshness, ///< Age of the configuration in force.
    quota      ///< Quotas of client accounts.
};

/// A small message between daemons that belongs to no call.
struct control_message {
    control_topic topic = control_topic::freshness;
    std::string reply_address; ///< Transport address of the sender.
    std::string payload;       ///< Encoded by the module that owns the topic.
};

/// The part of the receiving daemon that handles a frame.
enum class frame_target { entry, gate, control };

/// The spelling used in logs.
[[nodiscard]] std::string_view to_string(frame_target target);

/// One message between daemons.
struct frame {
    core::incarnation receiver;
    core::incarnation sender;
    core::attempt_id attempt;
    frame_target target = frame_target::gate;
    std::variant<request_head, response_head, body_chunk, body_end, credit, cancel, attempt_end, link_opening,
                 status_query, status_in_progress, control_message>
        payload;
    /// Set on receipt: the frame was written to an earlier connection too, so another process at this address
    /// may have received it.
    bool rewritten = false;
    /// Until when the frame is worth sending if its link is down, by the sender's clock; not transmitted. If
    /// absent, the transport gives it up early, so that another daemon can be tried.
    std::optional<core::steady_time> expires;
};

/// How long frames of a call that the peer knows of wait at least while the link to it is down.
constexpr std::chrono::seconds known_call_patience{2};

/// Returns until when such a frame is worth sending.
[[nodiscard]] inline core::steady_time known_call_expiry(core::steady_time deadline, core::steady_time now) {
    return std::max(deadline, now + known_call_patience);
}

/// Returns whether the frame is sent on the connection for bulk frames. That connection is separate so that
/// small calls don't wait behind bulk frames.
[[nodiscard]] inline bool is_bulk(const frame& message) {
    return std::holds_alternative<body_chunk>(message.payload) ||
           std::holds_alternative<body_end>(message.payload);
}

} // namespace monsoonlift::transport
