#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace monsoonlift::entry {

/// What one client account did at an entry since its start. Only root calls count.
struct account_use {
    std::string name; ///< "other" for all accounts beyond the bounded number.
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::vector<std::pair<std::string, std::uint64_t>>
        refused; ///< By reason; reasons without refusals are left out.
};

} // namespace monsoonlift::entry
