/// Checked reading of YAML maps: collects every error instead of stopping at the first.
#pragma once

#include "settings/types/settings_error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace monsoonlift::settings {

/// Reader of one YAML map. Errors of nested readers go into the same list.
class yaml_reader {
public:
    /// Reads `node`, which stands at `path`; faults are appended to `errors`.
    yaml_reader(const YAML::Node& node, std::string path, std::vector<settings_error>& errors);

    /// Reports every key of the map that is not in `known`, naming the nearest known one.
    void refuse_unknown_keys(const std::vector<std::string>& known);

    /// The string at `key`; an error if it is absent or empty.
    [[nodiscard]] std::string required_string(std::string_view key);

    /// The string at `key`, or `fallback`.
    [[nodiscard]] std::string optional_string(std::string_view key, std::string fallback);

    /// One of `allowed` at `key`, or `fallback` if absent; anything else is an error.
    [[nodiscard]] std::string one_of(std::string_view key, const std::vector<std::string>& allowed,
                                     std::string fallback);

    /// A whole number in [lowest, highest], or `fallback` if absent.
    [[nodiscard]] std::uint64_t whole_number(std::string_view key, std::uint64_t lowest,
                                             std::uint64_t highest, std::optional<std::uint64_t> fallback);

    /// A number in [lowest, highest], or `fallback` if absent.
    [[nodiscard]] double number(std::string_view key, double lowest, double highest,
                                std::optional<double> fallback);

    /// true or false, or `fallback` if absent; without fallback it is required.
    [[nodiscard]] bool boolean(std::string_view key, std::optional<bool> fallback);

    /// A duration such as "250ms", "5s", "10m" in [lowest, highest], or `fallback` if absent.
    [[nodiscard]] std::chrono::milliseconds duration(std::string_view key, std::chrono::milliseconds lowest,
                                                     std::chrono::milliseconds highest,
                                                     std::optional<std::chrono::milliseconds> fallback);

    /// A list of strings, empty if absent.
    [[nodiscard]] std::vector<std::string> string_list(std::string_view key);

    /// One reader for each map in the list at `key`, empty if absent; an error if it is no list of maps.
    [[nodiscard]] std::vector<yaml_reader> map_list(std::string_view key);

    /// The reader of the map at `key`, or nothing if absent; an error if it is no map.
    [[nodiscard]] std::optional<yaml_reader> map(std::string_view key);

    /// Adds an error about the value at `key`.
    void report(std::string_view key, std::string found, std::string allowed);

    /// Path of this map in the document.
    [[nodiscard]] const std::string& path() const { return m_path; }

private:
    [[nodiscard]] YAML::Node child(std::string_view key) const;
    [[nodiscard]] std::string child_path(std::string_view key) const;

    YAML::Node m_node;
    std::string m_path;
    std::vector<settings_error>* m_errors;
};

/// The map that a whole YAML text is; none, with an error at `path`, if the text is something else.
[[nodiscard]] std::optional<YAML::Node> load_map(const std::string& text, const std::string& path,
                                                 std::vector<settings_error>& errors);

} // namespace monsoonlift::settings
