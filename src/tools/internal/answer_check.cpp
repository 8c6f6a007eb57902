#include "tools/answer_check.h"

#include "tools/content.h"

#include <boost/json.hpp>

namespace monsoonlift::tools {
namespace {

std::string text_at(const boost::json::object& answer, const char* key) {
    const auto* value = answer.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

bool is_expected_json(const expected_answer& expected, std::string_view body) {
    boost::json::error_code error;
    const auto parsed = boost::json::parse({body.data(), body.size()}, error);
    if (error || !parsed.is_object()) {
        return false;
    }
    const auto& answer = parsed.as_object();
    const auto* length = answer.if_contains("request_length");
    const bool right_length = length != nullptr && length->is_number() &&
                              length->to_number<std::uint64_t>() == expected.request_length;
    return right_length && text_at(answer, "token") == expected.token &&
           text_at(answer, "sha256") == expected.request_sha256;
}

} // namespace

bool is_expected(const expected_answer& expected, std::string_view body) {
    if (expected.response_bytes == 0) {
        return is_expected_json(expected, body);
    }
    return body == make_content(content_seed(expected.token), expected.response_bytes);
}

} // namespace monsoonlift::tools
