#include "settings/internal/duration_text.h"

#include <charconv>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace monsoonlift::settings::internal {

namespace {

std::optional<std::int64_t> milliseconds_per(std::string_view unit) {
    if (unit == "ms") {
        return 1;
    }
    if (unit == "s") {
        return 1000;
    }
    if (unit == "m") {
        return 60 * 1000;
    }
    if (unit == "h") {
        return 60 * 60 * 1000;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::chrono::milliseconds> parse_duration(const std::string& text) {
    constexpr double longest = 1'000'000'000;
    double amount = 0;
    const char* end = text.data() + text.size();
    const auto [rest, fault] = std::from_chars(text.data(), end, amount);
    const bool is_amount = fault == std::errc() && amount >= 0 && amount <= longest;
    if (!is_amount) {
        return std::nullopt;
    }
    const auto factor = milliseconds_per(std::string_view(rest, static_cast<std::size_t>(end - rest)));
    if (!factor.has_value()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::llround(amount * static_cast<double>(*factor)));
}

std::string format_duration(std::chrono::milliseconds value) {
    if (value.count() % 1000 != 0 || value.count() == 0) {
        return std::to_string(value.count()) + "ms";
    }
    return std::to_string(value.count() / 1000) + "s";
}

} // namespace monsoonlift::settings::internal
