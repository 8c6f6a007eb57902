/// Deterministic body contents: both ends of a call can compute each byte from the request's token.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace monsoonlift::tools {

/// Returns the seed of the content for a request token.
[[nodiscard]] std::uint64_t content_seed(std::string_view token);

/// Fills `out` with the bytes of the content starting at `offset`.
void fill_content(std::uint64_t seed, std::uint64_t offset, std::span<char> out);

/// Returns the first `length` bytes of the content.
[[nodiscard]] std::string make_content(std::uint64_t seed, std::uint64_t length);

} // namespace monsoonlift::tools
