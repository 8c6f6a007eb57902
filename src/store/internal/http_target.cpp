#include "store/http_target.h"

#include <array>
#include <charconv>

namespace monsoonlift::store {

namespace {

constexpr std::string_view hexadecimal = "0123456789ABCDEF";
constexpr std::size_t escape_length = 3;

bool is_plain(char byte) {
    const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool digit = byte >= '0' && byte <= '9';
    return letter || digit || std::string_view("-._~/:").find(byte) != std::string_view::npos;
}

std::optional<std::string> percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            decoded.push_back(text[at]);
            continue;
        }
        const auto digits = text.substr(at + 1, 2);
        unsigned value = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (digits.size() + 1 != escape_length || parsed.ptr != digits.data() + digits.size()) {
            return std::nullopt;
        }
        decoded.push_back(static_cast<char>(value));
        at += digits.size();
    }
    return decoded;
}

bool add_parameter(http_target& target, std::string_view parameter) {
    const auto equals = parameter.find('=');
    const auto name = percent_decode(parameter.substr(0, equals));
    const auto raw_value =
        equals == std::string_view::npos ? std::string_view{} : parameter.substr(equals + 1);
    const auto value = percent_decode(raw_value);
    if (!name || !value) {
        return false;
    }
    target.query[*name] = *value;
    return true;
}

} // namespace

std::optional<http_target> parse_target(std::string_view target) {
    const auto question = target.find('?');
    auto path = percent_decode(target.substr(0, question));
    if (!path) {
        return std::nullopt;
    }
    http_target parsed{std::move(*path), {}};
    auto rest = question == std::string_view::npos ? std::string_view{} : target.substr(question + 1);
    while (!rest.empty()) {
        const auto ampersand = rest.find('&');
        if (!add_parameter(parsed, rest.substr(0, ampersand))) {
            return std::nullopt;
        }
        rest = ampersand == std::string_view::npos ? std::string_view{} : rest.substr(ampersand + 1);
    }
    return parsed;
}

std::optional<std::uint64_t> number_in(const http_target& target, const std::string& name) {
    const auto found = target.query.find(name);
    return found == target.query.end() ? std::nullopt : parse_whole_number(found->second);
}

std::string percent_encode(std::string_view text) {
    std::string encoded;
    for (const char byte : text) {
        if (is_plain(byte)) {
            encoded.push_back(byte);
            continue;
        }
        const auto code = static_cast<unsigned char>(byte);
        encoded.push_back('%');
        encoded.push_back(hexadecimal[code / hexadecimal.size()]);
        encoded.push_back(hexadecimal[code % hexadecimal.size()]);
    }
    return encoded;
}

std::optional<std::uint64_t> parse_whole_number(std::string_view text) {
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace monsoonlift::store
