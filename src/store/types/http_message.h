#pragma once

#include <string>
#include <vector>

namespace monsoonlift::store {

/// One header field of an HTTP message.
struct http_header {
    std::string name;
    std::string value;
};

/// One outgoing HTTP/1.1 request.
struct http_request {
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::vector<http_header> headers;
};

/// Status and body of an HTTP answer.
struct http_reply {
    unsigned status = 0;
    std::string body;
};

} // namespace monsoonlift::store
