#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace monsoonlift::execution {

/// Digest of what a request asks and who asks it; the same for a resend under another key.
struct request_fingerprint {
    std::uint64_t value = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's zero for a null pointer.
    auto operator<=>(const request_fingerprint&) const = default;
};

/// What a fingerprint is made of.
struct fingerprint_source {
    std::string_view service;
    std::string_view method;
    std::string_view target; ///< Path with query.
    std::string_view caller;
    std::string_view body; ///< The whole body, or the part that came with the head.
};

/// The fingerprint of a request.
[[nodiscard]] request_fingerprint make_fingerprint(const fingerprint_source& source);

} // namespace monsoonlift::execution
