#include "store/backoff.h"

#include <algorithm>

namespace monsoonlift::store {

std::chrono::milliseconds next_delay(const backoff_rule& rule, std::uint32_t attempt, random_engine& random) {
    constexpr std::uint32_t max_doublings = 20;
    const auto doublings = std::min(attempt, max_doublings);
    const auto bound = std::min<std::int64_t>(rule.first.count() << doublings, rule.longest.count());
    return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, bound)(random));
}

} // namespace monsoonlift::store
