#include "settings/text_node.h"

#include <algorithm>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <yaml-cpp/yaml.h>

namespace monsoonlift::settings {

namespace {

namespace json = boost::json;

text_node scalar_of(int line, std::string text) {
    text_node node;
    node.type = text_node::kind::scalar;
    node.line = line;
    node.scalar = std::move(text);
    return node;
}

int line_of(const YAML::Node& node) {
    const YAML::Mark mark = node.Mark();
    return mark.is_null() ? 0 : mark.line + 1;
}

/// Copies YAML values. Aliases may contain themselves or stand for more values than there is memory, so depth
/// and number are bounded.
class yaml_copier {
public:
    [[nodiscard]] text_node copy(const YAML::Node& source, int depth = 0) {
        text_node node;
        node.line = line_of(source);
        m_is_over_limit = m_is_over_limit || depth > max_depth || ++m_copied > max_values;
        if (m_is_over_limit) {
            return node;
        }
        if (source.IsScalar()) {
            return scalar_of(node.line, source.Scalar());
        }
        if (source.IsSequence()) {
            copy_list(source, depth, node);
        }
        if (source.IsMap()) {
            copy_map(source, depth, node);
        }
        return node;
    }

    [[nodiscard]] bool is_over_limit() const { return m_is_over_limit; }

private:
    static constexpr int max_depth = 32;
    static constexpr std::size_t max_values = 2'000'000;

    void copy_list(const YAML::Node& source, int depth, text_node& node) {
        node.type = text_node::kind::list;
        for (const auto& item : source) {
            node.items.push_back(copy(item, depth + 1));
        }
    }

    void copy_map(const YAML::Node& source, int depth, text_node& node) {
        node.type = text_node::kind::map;
        for (const auto& pair : source) {
            node.entries.push_back({copy(pair.first, depth + 1), copy(pair.second, depth + 1)});
        }
    }

    std::size_t m_copied = 0;
    bool m_is_over_limit = false;
};

/// JSON is read without places: all of it counts as one line, as programs write it.
constexpr int json_line = 1;

text_node node_of(const json::value& source) {
    text_node node;
    node.line = json_line;
    if (const auto* text = source.if_string()) {
        return scalar_of(json_line, std::string(*text));
    }
    if (const auto* list = source.if_array()) {
        node.type = text_node::kind::list;
        node.items.reserve(list->size());
        for (const auto& item : *list) {
            node.items.push_back(node_of(item));
        }
        return node;
    }
    if (const auto* map = source.if_object()) {
        node.type = text_node::kind::map;
        node.entries.reserve(map->size());
        for (const auto& pair : *map) {
            node.entries.push_back({scalar_of(json_line, std::string(pair.key())), node_of(pair.value())});
        }
        return node;
    }
    return source.is_null() ? node : scalar_of(json_line, json::serialize(source));
}

std::optional<text_node> parse_json_map(const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string::npos || text[first] != '{') {
        return std::nullopt;
    }
    boost::system::error_code fault;
    const auto parsed = json::parse(text, fault);
    return fault ? std::nullopt : std::optional(node_of(parsed));
}

} // namespace

const text_node* find(const text_node& map, std::string_view key) {
    const auto found = std::find_if(map.entries.begin(), map.entries.end(), [key](const map_entry& entry) {
        return entry.key.type == text_node::kind::scalar && entry.key.scalar == key;
    });
    return found == map.entries.end() ? nullptr : &found->value;
}

std::optional<text_node> load_map(const std::string& text, const std::string& path,
                                  std::vector<settings_error>& errors) {
    constexpr const char* allowed = "a YAML map";
    if (auto node = parse_json_map(text)) {
        return node;
    }
    try {
        const YAML::Node root = YAML::Load(text);
        yaml_copier copier;
        auto node = copier.copy(root);
        if (copier.is_over_limit()) {
            errors.push_back({path, 1, "values nested too deep or too many", allowed});
        } else if (root.IsMap()) {
            return node;
        } else {
            errors.push_back({path, 1, "no map", allowed});
        }
    } catch (const YAML::Exception& fault) {
        errors.push_back({path, fault.mark.line + 1, fault.msg, allowed});
    }
    return std::nullopt;
}

} // namespace monsoonlift::settings
