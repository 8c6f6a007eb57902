#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace monsoonlift::execution {

/// Digest of a request's content and caller; a resend with another key has the same fingerprint.
struct request_fingerprint {
    std::uint64_t value = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's zero for a null pointer.
    auto operator<=>(const request_fingerprint&) const = default;
};

/// Hashes fingerprints for unordered containers; they are digests already.
struct fingerprint_hash {
    std::size_t operator()(const request_fingerprint& request) const noexcept {
        return static_cast<std::size_t>(request.value);
    }
};

/// The parts of a request that its fingerprint covers.
struct fingerprint_source {
    std::string_view service;
    std::string_view method;
    std::string_view target; ///< Path with query.
    std::string_view caller;
    std::string_view body; ///< The complete body, or the part that arrived with the request head.
};

/// Computes the fingerprint of a request from the fields and at most the first 4096 bytes of the body.
[[nodiscard]] request_fingerprint make_fingerprint(const fingerprint_source& source);

} // namespace monsoonlift::execution
