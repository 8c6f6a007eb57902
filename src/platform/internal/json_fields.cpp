#include "platform/internal/json_fields.h"

#include <boost/json/parse.hpp>

#include <utility>

namespace monsoonlift::platform::internal {

namespace json = boost::json;

namespace {

const json::value* find(const json::object& map, std::string_view name) {
    return map.if_contains({name.data(), name.size()});
}

std::optional<std::uint64_t> number_of(const json::value& value) {
    if (!value.is_number()) {
        return std::nullopt;
    }
    boost::system::error_code fault;
    const auto number = value.to_number<std::uint64_t>(fault);
    return fault ? std::nullopt : std::optional(number);
}

} // namespace

std::optional<json::object> parse_map(std::string_view text) {
    boost::system::error_code fault;
    auto value = json::parse({text.data(), text.size()}, fault);
    if (fault || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    boost::system::error_code fault;
    const auto value = json::parse({text.data(), text.size()}, fault);
    return fault ? std::nullopt : number_of(value);
}

const json::object* find_map(const json::object& map, std::string_view name) {
    const auto* value = find(map, name);
    return value != nullptr ? value->if_object() : nullptr;
}

const json::array* find_list(const json::object& map, std::string_view name) {
    const auto* value = find(map, name);
    return value != nullptr ? value->if_array() : nullptr;
}

std::optional<std::string_view> find_text(const json::object& map, std::string_view name) {
    const auto* value = find(map, name);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    const auto& text = value->get_string();
    return std::string_view(text.data(), text.size());
}

std::optional<std::uint64_t> find_number(const json::object& map, std::string_view name, std::uint64_t most) {
    const auto* value = find(map, name);
    const auto number = value != nullptr ? number_of(*value) : std::nullopt;
    return number && *number <= most ? number : std::nullopt;
}

bool is_true(const json::object& map, std::string_view name) {
    const auto* value = find(map, name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

} // namespace monsoonlift::platform::internal
