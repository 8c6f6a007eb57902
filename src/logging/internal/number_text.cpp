#include "logging/number_text.h"

#include <array>
#include <cstdio>

namespace monsoonlift::logging {

std::string milliseconds_text(std::chrono::nanoseconds time) {
    std::array<char, 32> text{};
    const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
    std::snprintf(text.data(), text.size(), "%.3f", milliseconds);
    return text.data();
}

} // namespace monsoonlift::logging
