#include "logging/number_text.h"

#include <array>
#include <charconv>

namespace monsoonlift::logging {

std::string milliseconds_text(std::chrono::nanoseconds time) {
    std::array<char, 32> text{};
    constexpr int decimals = 3;
    const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
    const auto end =
        std::to_chars(text.begin(), text.end(), milliseconds, std::chars_format::fixed, decimals);
    return {text.data(), end.ptr};
}

} // namespace monsoonlift::logging
