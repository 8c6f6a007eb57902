/// Validating reader for YAML maps; collects every error instead of stopping at the first.
#pragma once

#include "settings/text_node.h"
#include "settings/types/settings_error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::settings {

/// Reads the values of one YAML map. Nested readers add their errors to the same list.
class yaml_reader {
public:
    /// Creates a reader for `node`, whose path in the document is `path`; errors are appended to `errors`.
    /// Both must outlive the reader.
    yaml_reader(const text_node& node, std::string path, std::vector<settings_error>& errors);

    /// Reports every key of the map that is not in `known`, with the most similar known key if one is close.
    void refuse_unknown_keys(const std::vector<std::string>& known);

    /// Whether the map has the key, with whatever value.
    [[nodiscard]] bool has(std::string_view key) const;

    /// Returns the string at `key`; an error if it is absent or empty.
    [[nodiscard]] std::string required_string(std::string_view key);

    /// Returns the string at `key`, or `fallback` if absent.
    [[nodiscard]] std::string optional_string(std::string_view key, std::string fallback);

    /// Returns the string at `key`, which must be one of `allowed`, or `fallback` if absent.
    [[nodiscard]] std::string one_of(std::string_view key, const std::vector<std::string>& allowed,
                                     std::string fallback);

    /// Returns a whole number in [lowest, highest], or `fallback` if absent; without fallback it is required.
    [[nodiscard]] std::uint64_t whole_number(std::string_view key, std::uint64_t lowest,
                                             std::uint64_t highest, std::optional<std::uint64_t> fallback);

    /// Returns a number in [lowest, highest], or `fallback` if absent; without fallback it is required.
    [[nodiscard]] double number(std::string_view key, double lowest, double highest,
                                std::optional<double> fallback);

    /// Returns a boolean, or `fallback` if absent; without fallback it is required.
    [[nodiscard]] bool boolean(std::string_view key, std::optional<bool> fallback);

    /// Returns a duration such as "250ms", "6.5s", "10m" in [lowest, highest], or `fallback` if absent;
    /// without fallback it is required.
    [[nodiscard]] std::chrono::milliseconds duration(std::string_view key, std::chrono::milliseconds lowest,
                                                     std::chrono::milliseconds highest,
                                                     std::optional<std::chrono::milliseconds> fallback);

    /// Returns the list of strings at `key`, empty if absent.
    [[nodiscard]] std::vector<std::string> string_list(std::string_view key);

    /// Returns one reader for each map in the list at `key`, empty if absent; an error if it is not a list of
    /// maps.
    [[nodiscard]] std::vector<yaml_reader> map_list(std::string_view key);

    /// Returns a reader for the map at `key`, or nothing if absent; an error if it is not a map.
    [[nodiscard]] std::optional<yaml_reader> map(std::string_view key);

    /// Adds an error about the value at `key`.
    void report(std::string_view key, std::string found, std::string allowed);

    /// Path of this map in the document; empty for the root.
    [[nodiscard]] const std::string& path() const { return m_path; }

private:
    [[nodiscard]] const text_node* child(std::string_view key) const;
    [[nodiscard]] std::string child_path(std::string_view key) const;

    const text_node* m_node;
    std::string m_path;
    std::vector<settings_error>* m_errors;
};

} // namespace monsoonlift::settings
