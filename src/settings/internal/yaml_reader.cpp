#include "settings/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "settings/internal/duration_text.h"
#include "settings/internal/nearest_name.h"

namespace monsoonlift::settings {

namespace {

bool is_scalar(const text_node* node) {
    return node != nullptr && node->type == text_node::kind::scalar;
}

std::string describe(const text_node* node) {
    if (node == nullptr) {
        return "nothing";
    }
    switch (node->type) {
    case text_node::kind::scalar:
        return "\"" + node->scalar + "\"";
    case text_node::kind::list:
        return "a list";
    case text_node::kind::map:
        return "a map";
    case text_node::kind::nothing:
        break;
    }
    return "nothing";
}

std::string join(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

template <class Number> std::optional<Number> parse_number(const text_node* node) {
    if (!is_scalar(node)) {
        return std::nullopt;
    }
    Number value{};
    const std::string& text = node->scalar;
    const char* end = text.data() + text.size();
    const auto [rest, fault] = std::from_chars(text.data(), end, value);
    if (fault != std::errc() || rest != end) {
        return std::nullopt;
    }
    return value;
}

template <class Number> std::string range_text(const char* kind, Number lowest, Number highest) {
    std::string low = std::to_string(lowest);
    std::string high = std::to_string(highest);
    return std::string(kind) + " from " + low + " to " + high;
}

} // namespace

yaml_reader::yaml_reader(const text_node& node, std::string path, std::vector<settings_error>& errors)
    : m_node(&node), m_path(std::move(path)), m_errors(&errors) {}

void yaml_reader::refuse_unknown_keys(const std::vector<std::string>& known) {
    std::vector<std::string> seen;
    for (const auto& entry : m_node->entries) {
        const std::string key = is_scalar(&entry.key) ? entry.key.scalar : std::string("?");
        const bool repeated = std::find(seen.begin(), seen.end(), key) != seen.end();
        seen.push_back(key);
        if (repeated) {
            m_errors->push_back({child_path(key), entry.key.line, "the key twice", "each key once"});
            continue;
        }
        if (std::find(known.begin(), known.end(), key) != known.end()) {
            continue;
        }
        std::string allowed = "one of " + join(known);
        if (const auto nearest = internal::nearest_name(key, known); nearest.has_value()) {
            allowed = "\"" + *nearest + "\" is the nearest known key; " + allowed;
        }
        m_errors->push_back({child_path(key), entry.key.line, "unknown key \"" + key + "\"", allowed});
    }
}

bool yaml_reader::has(std::string_view key) const {
    return child(key) != nullptr;
}

std::string yaml_reader::required_string(std::string_view key) {
    const auto* node = child(key);
    if (!is_scalar(node) || node->scalar.empty()) {
        report(key, describe(node), "a text that is not empty");
        return {};
    }
    return node->scalar;
}

std::string yaml_reader::optional_string(std::string_view key, std::string fallback) {
    const auto* node = child(key);
    if (node == nullptr) {
        return fallback;
    }
    return required_string(key);
}

std::string yaml_reader::one_of(std::string_view key, const std::vector<std::string>& allowed,
                                std::string fallback) {
    const auto* node = child(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!is_scalar(node) || std::find(allowed.begin(), allowed.end(), node->scalar) == allowed.end()) {
        report(key, describe(node), "one of " + join(allowed));
        return fallback;
    }
    return node->scalar;
}

std::uint64_t yaml_reader::whole_number(std::string_view key, std::uint64_t lowest, std::uint64_t highest,
                                        std::optional<std::uint64_t> fallback) {
    const auto* node = child(key);
    if (node == nullptr && fallback.has_value()) {
        return *fallback;
    }
    const auto value = parse_number<std::uint64_t>(node);
    if (!value.has_value() || *value < lowest || *value > highest) {
        report(key, describe(node), range_text("a whole number", lowest, highest));
        return lowest;
    }
    return *value;
}

double yaml_reader::number(std::string_view key, double lowest, double highest,
                           std::optional<double> fallback) {
    const auto* node = child(key);
    if (node == nullptr && fallback.has_value()) {
        return *fallback;
    }
    const auto value = parse_number<double>(node);
    const bool within = value.has_value() && *value >= lowest && *value <= highest;
    if (!within) {
        report(key, describe(node), range_text("a number", lowest, highest));
        return lowest;
    }
    return *value;
}

bool yaml_reader::boolean(std::string_view key, std::optional<bool> fallback) {
    const auto* node = child(key);
    if (node == nullptr && fallback.has_value()) {
        return *fallback;
    }
    const std::string text = is_scalar(node) ? node->scalar : std::string();
    if (text != "true" && text != "false") {
        report(key, describe(node), "true or false");
        return false;
    }
    return text == "true";
}

std::chrono::milliseconds yaml_reader::duration(std::string_view key, std::chrono::milliseconds lowest,
                                                std::chrono::milliseconds highest,
                                                std::optional<std::chrono::milliseconds> fallback) {
    const auto* node = child(key);
    if (node == nullptr && fallback.has_value()) {
        return *fallback;
    }
    std::optional<std::chrono::milliseconds> value;
    if (is_scalar(node)) {
        value = internal::parse_duration(node->scalar);
    }
    if (!value.has_value() || *value < lowest || *value > highest) {
        report(key, describe(node),
               "a duration from " + internal::format_duration(lowest) + " to " +
                   internal::format_duration(highest) + ", such as 250ms, 6.5s or 10m");
        return lowest;
    }
    return *value;
}

std::vector<std::string> yaml_reader::string_list(std::string_view key) {
    const auto* node = child(key);
    std::vector<std::string> values;
    if (node == nullptr) {
        return values;
    }
    if (node->type != text_node::kind::list) {
        report(key, describe(node), "a list of texts");
        return values;
    }
    for (const auto& item : node->items) {
        if (!is_scalar(&item) || item.scalar.empty()) {
            const std::string place = child_path(key) + "[" + std::to_string(values.size()) + "]";
            m_errors->push_back({place, item.line, describe(&item), "a text that is not empty"});
            values.emplace_back();
            continue;
        }
        values.push_back(item.scalar);
    }
    return values;
}

std::vector<yaml_reader> yaml_reader::map_list(std::string_view key) {
    const auto* node = child(key);
    std::vector<yaml_reader> readers;
    if (node == nullptr) {
        return readers;
    }
    if (node->type != text_node::kind::list) {
        report(key, describe(node), "a list of maps");
        return readers;
    }
    std::size_t index = 0;
    for (const auto& item : node->items) {
        const std::string place = child_path(key) + "[" + std::to_string(index++) + "]";
        if (item.type != text_node::kind::map) {
            m_errors->push_back({place, item.line, describe(&item), "a map"});
            continue;
        }
        readers.emplace_back(item, place, *m_errors);
    }
    return readers;
}

std::optional<yaml_reader> yaml_reader::map(std::string_view key) {
    const auto* node = child(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    if (node->type != text_node::kind::map) {
        report(key, describe(node), "a map");
        return std::nullopt;
    }
    return yaml_reader(*node, child_path(key), *m_errors);
}

void yaml_reader::report(std::string_view key, std::string found, std::string allowed) {
    const auto* node = child(key);
    const int line = node != nullptr ? node->line : m_node->line;
    m_errors->push_back({child_path(key), line, std::move(found), std::move(allowed)});
}

const text_node* yaml_reader::child(std::string_view key) const {
    return find(*m_node, key);
}

std::string yaml_reader::child_path(std::string_view key) const {
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

} // namespace monsoonlift::settings
