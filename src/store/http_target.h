/// Paths and queries of HTTP request targets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::store {

/// A request target taken apart, percent-decoded.
struct http_target {
    std::string path;
    std::map<std::string, std::string> query;
};

/// The whole number of a query field, or nothing.
[[nodiscard]] std::optional<std::uint64_t> number_in(const http_target& target, const std::string& name);

/// Takes a request target apart; nothing if an escape is malformed.
[[nodiscard]] std::optional<http_target> parse_target(std::string_view target);

/// Escapes every byte that may not stand in a path or a query value; "/" and ":" stay.
[[nodiscard]] std::string percent_encode(std::string_view text);

/// A whole decimal number, or nothing.
[[nodiscard]] std::optional<std::uint64_t> parse_whole_number(std::string_view text);

} // namespace monsoonlift::store
