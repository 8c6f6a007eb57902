#include "platform/internal/json_pieces.h"

#include <algorithm>
#include <cstddef>

namespace monsoonlift::platform::internal {

namespace {

constexpr std::string_view blanks = " \t\r\n";

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Returns the position after the string whose opening quote is at `quote`.
std::size_t end_of_string(std::string_view text, std::size_t quote) {
    for (std::size_t at = quote + 1; at < text.size(); ++at) {
        if (text[at] == '\\') {
            ++at;
        } else if (text[at] == '"') {
            return at + 1;
        }
    }
    return text.size();
}

/// Returns the position of the comma or the enclosing closing bracket that ends the value starting at `from`,
/// or the end of the text.
std::size_t end_of_value(std::string_view text, std::size_t from) {
    std::size_t depth = 0;
    std::size_t at = from;
    while (at < text.size()) {
        const char letter = text[at];
        const bool opens = letter == '[' || letter == '{';
        const bool closes = letter == ']' || letter == '}';
        if (depth == 0 && (closes || letter == ',')) {
            break;
        }
        depth += opens ? 1 : 0;
        depth -= closes ? 1 : 0;
        at = letter == '"' ? end_of_string(text, at) : at + 1;
    }
    return at;
}

/// Returns the comma-separated texts between the brackets of a list or map.
std::vector<std::string_view> parts_of(std::string_view text, char opening) {
    text = trimmed(text);
    std::vector<std::string_view> parts;
    if (text.empty() || text.front() != opening) {
        return parts;
    }
    std::size_t from = 1;
    while (from < text.size()) {
        const auto end = end_of_value(text, from);
        const auto part = trimmed(text.substr(from, end - from));
        if (!part.empty()) {
            parts.push_back(part);
        }
        if (end >= text.size() || text[end] != ',') {
            break;
        }
        from = end + 1;
    }
    return parts;
}

} // namespace

std::vector<std::string_view> elements_of(std::string_view list) {
    return parts_of(list, '[');
}

std::string_view value_at(std::string_view map, std::string_view name) {
    for (const auto part : parts_of(map, '{')) {
        if (part.front() != '"') {
            continue;
        }
        const auto end = end_of_string(part, 0);
        const auto colon = part.find(':', end);
        const bool matches = end == name.size() + 2 && part.substr(1, name.size()) == name;
        if (matches && colon != std::string_view::npos) {
            return trimmed(part.substr(colon + 1));
        }
    }
    return {};
}

} // namespace monsoonlift::platform::internal
