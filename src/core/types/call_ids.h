#pragma once

#include "core/clock.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::core {

/// One life of a daemon process: drawn at start, never reused, larger for a later life of the same address.
struct incarnation {
    std::uint64_t value = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's zero for a null pointer.
    auto operator<=>(const incarnation&) const = default;
};

/// The life of a process that starts at `started`. Later lives of one address are larger, since a process
/// takes longer than a millisecond to start; `random` tells apart the many daemons that start in one
/// millisecond.
[[nodiscard]] incarnation make_incarnation(wall_time started, std::uint64_t random);

/// Identity of a whole request: drawn where the root call enters and carried to every nested call.
struct root_id {
    std::array<std::uint8_t, 16> bytes{};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's zero for a null pointer.
    auto operator<=>(const root_id&) const = default;
};

/// Identity of one attempt of one call, unique in the fleet.
struct attempt_id {
    incarnation origin;        ///< The entry daemon that sent it.
    std::uint64_t call = 0;    ///< Rises for each call of that entry.
    std::uint32_t attempt = 0; ///< Rises for each attempt of that call.

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's zero for a null pointer.
    auto operator<=>(const attempt_id&) const = default;
};

/// Where a daemon is reached by other daemons, and which life of it is meant.
struct endpoint_id {
    std::string address; ///< "ip:port" of the daemon's transport socket.
    incarnation life;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison's zero for a null pointer.
    auto operator<=>(const endpoint_id&) const = default;
};

/// "origin/call/attempt", as logs name an attempt.
[[nodiscard]] std::string to_string(const attempt_id& id);

/// 32 lower-case hexadecimal digits.
[[nodiscard]] std::string to_string(const root_id& id);

/// The identity of that spelling, or nothing.
[[nodiscard]] std::optional<root_id> parse_root_id(std::string_view text);

/// A number in [0, buckets) that is the same on every daemon, so that decisions agree along a call chain.
[[nodiscard]] std::uint32_t bucket_of(const root_id& id, std::uint32_t buckets);

} // namespace monsoonlift::core
