/// Paths and queries of HTTP request targets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::store {

/// A parsed request target, percent-decoded.
struct http_target {
    std::string path;
    std::map<std::string, std::string> query;
};

/// Returns the query field `name` as an unsigned decimal number; nothing if it is absent or malformed.
[[nodiscard]] std::optional<std::uint64_t> number_in(const http_target& target, const std::string& name);

/// Parses a request target; returns nothing if a percent escape is malformed.
[[nodiscard]] std::optional<http_target> parse_target(std::string_view target);

/// Percent-encodes every byte except unreserved characters, "/" and ":".
[[nodiscard]] std::string percent_encode(std::string_view text);

/// Parses an unsigned decimal number; returns nothing if `text` holds anything else.
[[nodiscard]] std::optional<std::uint64_t> parse_whole_number(std::string_view text);

} // namespace monsoonlift::store
