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
    std::vector<std::string> wanted_fields{}; ///< Names of header fields of the answer to return.
};

/// Status and body of an HTTP answer.
struct http_reply {
    unsigned status = 0;
    std::string body;
    std::vector<http_header> headers{}; ///< Those of the wanted fields that the answer has.
};

} // namespace monsoonlift::store
