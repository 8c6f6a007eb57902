/// Protocol-specific part of the exchange with a backend server: request headers and the meaning of answers.
/// Each protocol is one value of `backend_protocol`.
#pragma once

#include "gate/context_token.h"
#include "gate/running_requests.h"
#include "gate/types/backend_server.h"
#include "transport/types/frame.h"

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace monsoonlift::gate {

/// Source of the header fields that the gate adds to the caller's own fields.
struct request_label {
    const transport::request_head& head;
    const backend_server& backend;
    const context_token& token; ///< The backend server passes it on in nested calls.
    std::chrono::milliseconds time_left;
};

/// Sets the header fields of the Monsoonlift protocol.
void label_request(boost::beast::http::fields& fields, const request_label& label);

/// Whether an answer in the Monsoonlift protocol states that the request did not run.
[[nodiscard]] bool is_refusal(unsigned status, const boost::beast::http::fields& fields);

/// The functions that differ from one protocol of backend servers to another.
struct backend_protocol {
    std::function<void(boost::beast::http::fields&, const request_label&)> label_request =
        gate::label_request;

    /// Whether an answer states that the request did not run and never will.
    std::function<bool(unsigned status, const boost::beast::http::fields&)> is_refusal = gate::is_refusal;

    /// Header field that an answer copies from its request; an answer with another value belongs to another
    /// request. Empty if the protocol has no such field.
    std::string_view echoed_id_header;

    /// Running requests by the value of `echoed_id_header`; nullptr if nested calls carry their context.
    std::shared_ptr<running_requests> running;

    /// Whether an answer with neither a length nor chunked coding is complete once its connection is closed
    /// without an error.
    bool answers_may_end_with_connection = false;
};

} // namespace monsoonlift::gate
