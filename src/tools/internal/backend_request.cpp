#include "tools/internal/backend_request.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace monsoonlift::tools::internal {

namespace beast = boost::beast;

received_request read_head(const request_parser& parser) {
    const auto& head = parser.get();
    received_request request;
    request.method = std::string(head.method_string());
    request.target_text = std::string(head.target());
    request.target = parse_target(request.target_text);
    request.key = std::string(head["Idempotency-Key"]);
    request.context = std::string(head["Monsoonlift-Context"]);
    request.expects_continue = beast::iequals(head[beast::http::field::expect], "100-continue");
    request.keep_alive = parser.keep_alive();
    return request;
}

bool is_control(const std::string& path) {
    constexpr std::array<std::string_view, 6> paths{"/health", "/load",  "/faults",
                                                    "/runs",   "/stats", "/tokens"};
    return std::find(paths.begin(), paths.end(), path) != paths.end();
}

} // namespace monsoonlift::tools::internal
