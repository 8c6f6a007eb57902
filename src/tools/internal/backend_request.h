#pragma once

#include "tools/request_target.h"

#include <cstdint>
#include <string>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>

namespace monsoonlift::tools::internal {

/// Reads one request, its body in pieces.
using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// One request as far as it was read.
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
    std::string echo; ///< The body, where the answer is to return it.
};

/// A plain answer.
struct short_answer {
    boost::beast::http::status status = boost::beast::http::status::ok;
    std::string body;
};

/// The request without its body, once the parser has its head.
[[nodiscard]] received_request read_head(const request_parser& parser);

/// Whether a path is about the stand-in itself and no call.
[[nodiscard]] bool is_control(const std::string& path);

} // namespace monsoonlift::tools::internal
