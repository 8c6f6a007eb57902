/// How callers' requests are read and how they are told of failures. Another protocol is another value.
#pragma once

#include "entry/request_parsing.h"
#include "entry/types/problem.h"
#include "transport/types/frame.h"

#include <functional>
#include <variant>

namespace monsoonlift::entry {

/// The functions that differ from one protocol of callers to another.
struct caller_protocol {
    /// Reads a request's head.
    std::function<std::variant<parsed_call, problem>(const request_fields&, const parsing_rules&,
                                                     core::steady_time)>
        parse = parse_call;

    /// The answer for a call that got none of a backend server; the reason phrase is filled in later.
    std::function<transport::response_head(const problem&)> tell = tell_problem;

    /// Whether answers carry fields of this project.
    bool labels_answers = true;
};

} // namespace monsoonlift::entry
