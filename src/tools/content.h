/// Deterministic bodies: both ends of a call can work out each byte from a token.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace monsoonlift::tools {

/// The seed of the content that belongs to a request token.
[[nodiscard]] std::uint64_t content_seed(std::string_view token);

/// Fills `out` with the bytes of the content that begin at `offset`.
void fill_content(std::uint64_t seed, std::uint64_t offset, std::span<char> out);

/// The first `length` bytes of the content.
[[nodiscard]] std::string make_content(std::uint64_t seed, std::uint64_t length);

} // namespace monsoonlift::tools
