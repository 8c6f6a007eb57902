/// How requests are labelled for a backend server, and what its answers mean. Another protocol is another
/// value.
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

/// What a request to the backend server is told beside the caller's own fields.
struct request_label {
    const transport::request_head& head;
    const backend_server& backend;
    const context_token& token; ///< To be passed on by nested calls.
    std::chrono::milliseconds time_left;
};

/// Sets the fields of this project's own protocol.
void label_request(boost::beast::http::fields& fields, const request_label& label);

/// Whether an answer of this project's own protocol says that the request did not run.
[[nodiscard]] bool is_refusal(unsigned status, const boost::beast::http::fields& fields);

/// The functions that differ from one protocol of backend servers to another.
struct backend_protocol {
    std::function<void(boost::beast::http::fields&, const request_label&)> label_request =
        gate::label_request;

    /// Whether an answer says that the request did not run and never will.
    std::function<bool(unsigned status, const boost::beast::http::fields&)> is_refusal = gate::is_refusal;

    /// Field that answers repeat from their request; an answer with another value belongs to another request.
    /// Empty if answers repeat nothing.
    std::string_view echoed_id_header;

    /// Notes the requests that run, by the value of that field; nullptr if nested calls carry their context.
    std::shared_ptr<running_requests> running;

    /// Whether an answer without length and chunks is whole once its connection is closed in order.
    bool answers_may_end_with_connection = false;
};

} // namespace monsoonlift::gate
