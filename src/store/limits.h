#pragma once

#include <cstddef>

namespace monsoonlift::store {

/// The largest value that the platform stores.
inline constexpr std::size_t max_value_bytes = 1'000'000;

} // namespace monsoonlift::store
