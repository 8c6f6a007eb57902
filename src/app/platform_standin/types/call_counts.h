#pragma once

#include <cstdint>

namespace monsoonlift::platform_standin {

/// Counts since the start: of calls by kind, of version conflicts and of injected faults.
struct call_counts {
    std::uint64_t get = 0;
    std::uint64_t list = 0;
    std::uint64_t update = 0;
    std::uint64_t remove = 0;
    std::uint64_t watch = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t refused_in_outage = 0;
    std::uint64_t answers_lost = 0;
};

} // namespace monsoonlift::platform_standin
