#include "settings/internal/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace monsoonlift::settings::internal {

namespace {

std::size_t edit_distance(const std::string& from, const std::string& to) {
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < from.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < to.size(); ++j) {
            const std::size_t replaced = diagonal + (from[i] == to[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::optional<std::string> nearest_name(const std::string& name, const std::vector<std::string>& known) {
    const auto nearest =
        std::min_element(known.begin(), known.end(), [&](const auto& left, const auto& right) {
            return edit_distance(name, left) < edit_distance(name, right);
        });
    const std::size_t furthest = std::max<std::size_t>(2, name.size() / 3);
    if (nearest == known.end() || edit_distance(name, *nearest) > furthest) {
        return std::nullopt;
    }
    return *nearest;
}

} // namespace monsoonlift::settings::internal
