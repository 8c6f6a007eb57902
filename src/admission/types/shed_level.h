#pragma once

#include "core/types/call_context.h"

#include <compare>
#include <cstdint>

namespace monsoonlift::admission {

/// Number of buckets that root ids are hashed into.
inline constexpr std::uint32_t root_buckets = 128;

/// Number of positions within a class: nested calls come first, then new root calls, both ordered by the
/// bucket of their root.
inline constexpr std::uint32_t shed_buckets = 2 * root_buckets;

/// The shedding threshold of a backend server: calls of a higher rank, or of the same rank and at a position
/// of `bucket` or higher, are refused. The default admits everything.
struct shed_level {
    core::class_rank rank = 255;
    std::uint32_t bucket = shed_buckets;

    auto operator<=>(const shed_level&) const = default;
};

/// Returns whether the first threshold admits fewer calls than the second.
[[nodiscard]] inline bool is_stricter(const shed_level& first, const shed_level& second) {
    return first.rank != second.rank ? first.rank < second.rank : first.bucket < second.bucket;
}

} // namespace monsoonlift::admission
