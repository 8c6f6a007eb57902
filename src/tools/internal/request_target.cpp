#include "tools/request_target.h"

#include <charconv>

namespace monsoonlift::tools {
namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

void read_parameter(std::string_view parameter, request_target& target) {
    const auto equals = parameter.find('=');
    if (equals == std::string_view::npos) {
        return;
    }
    const auto name = parameter.substr(0, equals);
    const auto value = parameter.substr(equals + 1);
    if (name == "token") {
        target.token = value;
    } else if (name == "bytes") {
        target.body_length = parse_number(value);
    } else if (name == "echo") {
        target.echo = value == "1";
    }
}

} // namespace

request_target parse_target(std::string_view target) {
    request_target result;
    const auto question = target.find('?');
    result.path = target.substr(0, question);
    if (question == std::string_view::npos) {
        return result;
    }
    std::string_view query = target.substr(question + 1);
    while (!query.empty()) {
        const auto end = query.find('&');
        read_parameter(query.substr(0, end), result);
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return result;
}

} // namespace monsoonlift::tools
