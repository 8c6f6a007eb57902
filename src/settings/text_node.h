/// The values of a settings or configuration text, whether it is YAML or JSON.
#pragma once

#include "settings/types/settings_error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::settings {

struct map_entry;

/// One value with its place in the text.
struct text_node {
    enum class kind { nothing, scalar, list, map };

    kind type = kind::nothing;
    int line = 0;                   ///< From 1; 0 if unknown.
    std::string scalar;             ///< The text of a scalar, as written.
    std::vector<text_node> items;   ///< Of a list.
    std::vector<map_entry> entries; ///< Of a map, in the order of the text.
};

/// One key of a map and its value.
struct map_entry {
    text_node key;
    text_node value;
};

/// Returns the value at `key` of a map, or nullptr if it has none.
[[nodiscard]] const text_node* find(const text_node& map, std::string_view key);

/// Parses a text whose root is a map. Returns nothing and adds an error at `path` if it is malformed or not a
/// map. A text that is JSON is read as such, which takes far less time than reading it as YAML.
[[nodiscard]] std::optional<text_node> load_map(const std::string& text, const std::string& path,
                                                std::vector<settings_error>& errors);

} // namespace monsoonlift::settings
