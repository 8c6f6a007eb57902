/// Parsing of callers' requests and rendering of problems; one value per caller protocol.
#pragma once

#include "entry/request_parsing.h"
#include "entry/types/problem.h"
#include "transport/types/frame.h"

#include <functional>
#include <variant>

namespace monsoonlift::entry {

/// The functions that differ between caller protocols.
struct caller_protocol {
    /// Parses and checks a request's head.
    std::function<std::variant<parsed_call, problem>(const request_fields&, const parsing_rules&,
                                                     core::steady_time)>
        parse = parse_call;

    /// Makes the response for a call that has no answer from a backend server; the reason phrase is filled in
    /// later.
    std::function<transport::response_head(const problem&)> tell = to_response_head;

    /// Whether answers carry the Monsoonlift-* header fields.
    bool labels_answers = true;
};

} // namespace monsoonlift::entry
