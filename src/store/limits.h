#pragma once

#include <cstddef>

namespace monsoonlift::store {

/// Maximum size of an object's value in the platform's store.
inline constexpr std::size_t max_value_bytes = 1'000'000;

} // namespace monsoonlift::store
