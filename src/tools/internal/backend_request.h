#pragma once

#include "tools/request_target.h"

#include <cstdint>
#include <string>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>

namespace monsoonlift::tools::internal {

/// Parses one request and gives its body in chunks.
using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// One request; `length`, `sha256` and `echo` are set as its body is read.
struct received_request {
    std::string method;
    request_target target;
    std::string target_text;
    std::string key;
    std::string context;
    bool expects_continue = false;
    bool keep_alive = true;
    std::uint64_t length = 0;
    std::string sha256;
    std::string echo; ///< The body, up to 64 MiB, kept only if the target asks for an echo.
};

/// An answer with a status and a body held in memory.
struct simple_answer {
    boost::beast::http::status status = boost::beast::http::status::ok;
    std::string body;
};

/// Returns the request without its body; `parser` must have read the head.
[[nodiscard]] received_request read_head(const request_parser& parser);

/// Returns whether `path` addresses the stand-in itself (health, load, faults, counts), not a simulated call.
[[nodiscard]] bool is_control(const std::string& path);

} // namespace monsoonlift::tools::internal
