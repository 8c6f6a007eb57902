#pragma once

#include "transfer/body_digest.h"
#include "transport/types/frame.h"

#include <cstdint>
#include <vector>

namespace monsoonlift::gate::tests {

/// Returns the frame of a complete idempotent request to the service "mappa" from an entry with
/// incarnation 1.
[[nodiscard]] inline transport::frame request_frame(std::uint64_t call, core::steady_time deadline,
                                                    std::vector<transport::header> headers = {}) {
    transport::request_head head;
    head.reply_address = "127.0.0.1:7000";
    head.context.deadline = deadline;
    head.context.idempotent = true;
    head.service = "mappa";
    head.method = "GET";
    head.target = "/map";
    head.headers = std::move(headers);
    head.total = transfer::total_of(head.body);
    transport::frame message;
    message.sender = {1};
    message.attempt = {{1}, call, 0};
    message.payload = std::move(head);
    return message;
}

} // namespace monsoonlift::gate::tests
