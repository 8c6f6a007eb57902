/// How much memory the next part of an HTTP body needs.
#pragma once

#include <boost/optional/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace monsoonlift::transfer {

/// Returns the bytes to reserve for the next part of a body: what is left of its stated length, at most
/// `limit`; `limit` if the length isn't known.
[[nodiscard]] inline std::size_t room_for(const boost::optional<std::uint64_t>& left, std::size_t limit) {
    return static_cast<std::size_t>(std::min<std::uint64_t>(left.value_or(limit), limit));
}

} // namespace monsoonlift::transfer
