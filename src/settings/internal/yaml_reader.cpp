#include "settings/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "settings/internal/duration_text.h"
#include "settings/internal/nearest_name.h"

namespace monsoonlift::settings {

namespace {

int line_of(const YAML::Node& node) {
    const YAML::Mark mark = node.Mark();
    return mark.is_null() ? 0 : mark.line + 1;
}

std::string describe(const YAML::Node& node) {
    if (!node.IsDefined()) {
        return "nothing";
    }
    if (node.IsScalar()) {
        return "\"" + node.Scalar() + "\"";
    }
    if (node.IsSequence()) {
        return "a list";
    }
    return node.IsMap() ? "a map" : "nothing";
}

std::string join(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

template <class Number> std::optional<Number> parse_number(const YAML::Node& node) {
    if (!node.IsScalar()) {
        return std::nullopt;
    }
    Number value{};
    const std::string& text = node.Scalar();
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

yaml_reader::yaml_reader(const YAML::Node& node, std::string path, std::vector<settings_error>& errors)
    : m_node(node), m_path(std::move(path)), m_errors(&errors) {}

void yaml_reader::refuse_unknown_keys(const std::vector<std::string>& known) {
    std::vector<std::string> seen;
    for (const auto& pair : m_node) {
        const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : std::string("?");
        const bool repeated = std::find(seen.begin(), seen.end(), key) != seen.end();
        seen.push_back(key);
        if (repeated) {
            m_errors->push_back({child_path(key), line_of(pair.first), "the key twice", "each key once"});
            continue;
        }
        if (std::find(known.begin(), known.end(), key) != known.end()) {
            continue;
        }
        std::string allowed = "one of " + join(known);
        if (const auto nearest = internal::nearest_name(key, known); nearest.has_value()) {
            allowed = "\"" + *nearest + "\" is the nearest known key; " + allowed;
        }
        m_errors->push_back({child_path(key), line_of(pair.first), "unknown key \"" + key + "\"", allowed});
    }
}

bool yaml_reader::has(std::string_view key) const {
    return child(key).IsDefined();
}

std::string yaml_reader::required_string(std::string_view key) {
    const YAML::Node node = child(key);
    if (!node.IsDefined() || !node.IsScalar() || node.Scalar().empty()) {
        report(key, describe(node), "a text that is not empty");
        return {};
    }
    return node.Scalar();
}

std::string yaml_reader::optional_string(std::string_view key, std::string fallback) {
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return fallback;
    }
    return required_string(key);
}

std::string yaml_reader::one_of(std::string_view key, const std::vector<std::string>& allowed,
                                std::string fallback) {
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return fallback;
    }
    if (!node.IsScalar() || std::find(allowed.begin(), allowed.end(), node.Scalar()) == allowed.end()) {
        report(key, describe(node), "one of " + join(allowed));
        return fallback;
    }
    return node.Scalar();
}

std::uint64_t yaml_reader::whole_number(std::string_view key, std::uint64_t lowest, std::uint64_t highest,
                                        std::optional<std::uint64_t> fallback) {
    const YAML::Node node = child(key);
    if (!node.IsDefined() && fallback.has_value()) {
        return *fallback;
    }
    const auto value = node.IsDefined() ? parse_number<std::uint64_t>(node) : std::nullopt;
    if (!value.has_value() || *value < lowest || *value > highest) {
        report(key, describe(node), range_text("a whole number", lowest, highest));
        return lowest;
    }
    return *value;
}

double yaml_reader::number(std::string_view key, double lowest, double highest,
                           std::optional<double> fallback) {
    const YAML::Node node = child(key);
    if (!node.IsDefined() && fallback.has_value()) {
        return *fallback;
    }
    const auto value = node.IsDefined() ? parse_number<double>(node) : std::nullopt;
    const bool within = value.has_value() && *value >= lowest && *value <= highest;
    if (!within) {
        report(key, describe(node), range_text("a number", lowest, highest));
        return lowest;
    }
    return *value;
}

bool yaml_reader::boolean(std::string_view key, std::optional<bool> fallback) {
    const YAML::Node node = child(key);
    if (!node.IsDefined() && fallback.has_value()) {
        return *fallback;
    }
    const std::string text = node.IsDefined() && node.IsScalar() ? node.Scalar() : std::string();
    if (text != "true" && text != "false") {
        report(key, describe(node), "true or false");
        return false;
    }
    return text == "true";
}

std::chrono::milliseconds yaml_reader::duration(std::string_view key, std::chrono::milliseconds lowest,
                                                std::chrono::milliseconds highest,
                                                std::optional<std::chrono::milliseconds> fallback) {
    const YAML::Node node = child(key);
    if (!node.IsDefined() && fallback.has_value()) {
        return *fallback;
    }
    std::optional<std::chrono::milliseconds> value;
    if (node.IsDefined() && node.IsScalar()) {
        value = internal::parse_duration(node.Scalar());
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
    const YAML::Node node = child(key);
    std::vector<std::string> values;
    if (!node.IsDefined()) {
        return values;
    }
    if (!node.IsSequence()) {
        report(key, describe(node), "a list of texts");
        return values;
    }
    for (const auto& item : node) {
        if (!item.IsScalar() || item.Scalar().empty()) {
            const std::string place = child_path(key) + "[" + std::to_string(values.size()) + "]";
            m_errors->push_back({place, line_of(item), describe(item), "a text that is not empty"});
            values.emplace_back();
            continue;
        }
        values.push_back(item.Scalar());
    }
    return values;
}

std::vector<yaml_reader> yaml_reader::map_list(std::string_view key) {
    const YAML::Node node = child(key);
    std::vector<yaml_reader> readers;
    if (!node.IsDefined()) {
        return readers;
    }
    if (!node.IsSequence()) {
        report(key, describe(node), "a list of maps");
        return readers;
    }
    std::size_t index = 0;
    for (const auto& item : node) {
        const std::string place = child_path(key) + "[" + std::to_string(index++) + "]";
        if (!item.IsMap()) {
            m_errors->push_back({place, line_of(item), describe(item), "a map"});
            continue;
        }
        readers.emplace_back(item, place, *m_errors);
    }
    return readers;
}

std::optional<yaml_reader> yaml_reader::map(std::string_view key) {
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    if (!node.IsMap()) {
        report(key, describe(node), "a map");
        return std::nullopt;
    }
    return yaml_reader(node, child_path(key), *m_errors);
}

void yaml_reader::report(std::string_view key, std::string found, std::string allowed) {
    const YAML::Node node = child(key);
    const int line = node.IsDefined() ? line_of(node) : line_of(m_node);
    m_errors->push_back({child_path(key), line, std::move(found), std::move(allowed)});
}

YAML::Node yaml_reader::child(std::string_view key) const {
    const YAML::Node& map = m_node;
    return map.IsMap() ? map[std::string(key)] : YAML::Node(YAML::NodeType::Undefined);
}

std::string yaml_reader::child_path(std::string_view key) const {
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

std::optional<YAML::Node> load_map(const std::string& text, const std::string& path,
                                   std::vector<settings_error>& errors) {
    constexpr const char* allowed = "a YAML map";
    try {
        YAML::Node root = YAML::Load(text);
        if (root.IsMap()) {
            return root;
        }
        errors.push_back({path, 1, "no map", allowed});
    } catch (const YAML::Exception& fault) {
        errors.push_back({path, fault.mark.line + 1, fault.msg, allowed});
    }
    return std::nullopt;
}

} // namespace monsoonlift::settings
