#pragma once

#include "core/types/call_context.h"

#include <compare>
#include <cstdint>

namespace monsoonlift::admission {

/// Buckets that root ids are spread over.
inline constexpr std::uint32_t root_buckets = 128;

/// Positions within one class: nested calls come first, by the bucket of their root, then new root calls.
inline constexpr std::uint32_t shed_buckets = 2 * root_buckets;

/// The threshold of a backend server: calls of a higher rank, or of the same rank and a position that is
/// not below `bucket`, are refused. The default admits everything.
struct shed_level {
    core::class_rank rank = 255;
    std::uint32_t bucket = shed_buckets;

    auto operator<=>(const shed_level&) const = default;
};

/// Whether the first threshold admits less than the second.
[[nodiscard]] inline bool is_stricter(const shed_level& first, const shed_level& second) {
    return first.rank != second.rank ? first.rank < second.rank : first.bucket < second.bucket;
}

} // namespace monsoonlift::admission
