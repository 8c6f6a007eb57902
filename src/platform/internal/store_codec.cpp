#include "platform/store_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace monsoonlift::platform {

namespace json = boost::json;

namespace {

std::optional<json::object> read_map(std::string_view text) {
    boost::system::error_code fault;
    auto value = json::parse({text.data(), text.size()}, fault);
    if (fault || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::optional<std::uint64_t> read_number(const json::object& map, std::string_view name) {
    const auto* value = map.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    boost::system::error_code fault;
    const auto number = value->to_number<std::uint64_t>(fault);
    return fault ? std::nullopt : std::optional(number);
}

bool is_true(const json::object& map, std::string_view name) {
    const auto* value = map.if_contains({name.data(), name.size()});
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::optional<stored_object> read_object(const json::value& value) {
    const auto* map = value.if_object();
    const auto* metadata = map != nullptr ? map->if_contains("Metadata") : nullptr;
    const auto* fields = metadata != nullptr ? metadata->if_object() : nullptr;
    const auto* name = fields != nullptr ? fields->if_contains("Name") : nullptr;
    if (name == nullptr || !name->is_string()) {
        return std::nullopt;
    }
    const auto version = read_number(*fields, "Rev");
    if (!version) {
        return std::nullopt;
    }
    stored_object read;
    read.name = name->get_string();
    read.version = *version;
    read.is_being_removed = is_true(*fields, "Deleting");
    if (const auto* content = map->if_contains("Spec")) {
        read.content = *content;
    }
    return read;
}

const json::array* find_array(const json::object& map, std::string_view name) {
    const auto* value = map.if_contains({name.data(), name.size()});
    return value != nullptr ? value->if_array() : nullptr;
}

std::optional<stored_change> read_change(const json::value& value) {
    const auto* map = value.if_object();
    const auto* object = map != nullptr ? map->if_contains("Object") : nullptr;
    auto read = object != nullptr ? read_object(*object) : std::nullopt;
    if (!read) {
        return std::nullopt;
    }
    return stored_change{*std::move(read), is_true(*map, "Deleted")};
}

} // namespace

std::optional<stored_object> decode_object(std::string_view text) {
    boost::system::error_code fault;
    const auto value = json::parse({text.data(), text.size()}, fault);
    return fault ? std::nullopt : read_object(value);
}

std::optional<stored_page> decode_page(std::string_view text) {
    const auto map = read_map(text);
    const auto revision = map ? read_number(*map, "StoreRevision") : std::nullopt;
    const auto* items = map ? find_array(*map, "items") : nullptr;
    if (!revision || items == nullptr) {
        return std::nullopt;
    }
    stored_page page;
    page.revision = *revision;
    page.has_more = is_true(*map, "More");
    for (const auto& item : *items) {
        if (auto object = read_object(item)) {
            page.objects.push_back(*std::move(object));
        }
    }
    return page;
}

std::optional<stored_changes> decode_changes(std::string_view text) {
    const auto map = read_map(text);
    const auto revision = map ? read_number(*map, "StoreRevision") : std::nullopt;
    const auto* events = map ? find_array(*map, "events") : nullptr;
    if (!revision || events == nullptr) {
        return std::nullopt;
    }
    stored_changes read;
    read.revision = *revision;
    for (const auto& event : *events) {
        if (auto change = read_change(event)) {
            read.changes.push_back(*std::move(change));
        }
    }
    return read;
}

std::string encode_write(std::string_view name, std::uint64_t expected_version, std::string_view value) {
    json::object metadata;
    metadata["Name"] = json::string(name.data(), name.size());
    if (expected_version > 0) {
        metadata["Rev"] = expected_version;
    }
    json::object object;
    object["Metadata"] = std::move(metadata);
    object["Spec"] = json::string(value.data(), value.size());
    return json::serialize(object);
}

} // namespace monsoonlift::platform
