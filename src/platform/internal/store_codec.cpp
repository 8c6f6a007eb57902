#include "platform/store_codec.h"

#include "platform/internal/json_fields.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace monsoonlift::platform {

namespace json = boost::json;

namespace {

std::optional<stored_object> read_object(const json::object& map) {
    const auto* metadata = internal::find_map(map, "Metadata");
    const auto name = metadata != nullptr ? internal::find_text(*metadata, "Name") : std::nullopt;
    const auto version = metadata != nullptr ? internal::find_number(*metadata, "Rev") : std::nullopt;
    if (!name || !version) {
        return std::nullopt;
    }
    stored_object read;
    read.name = *name;
    read.version = *version;
    read.is_being_removed = internal::is_true(*metadata, "Deleting");
    if (const auto* content = map.if_contains("Spec")) {
        read.content = *content;
    }
    return read;
}

std::optional<stored_change> read_change(const json::object& map) {
    const auto* object = internal::find_map(map, "Object");
    auto read = object != nullptr ? read_object(*object) : std::nullopt;
    if (!read) {
        return std::nullopt;
    }
    return stored_change{*std::move(read), internal::is_true(map, "Deleted")};
}

/// What `read` makes of the maps in a list; anything else in it is left out.
template <class T>
std::vector<T> read_all(const json::array& list, std::optional<T> (*read)(const json::object&)) {
    std::vector<T> all;
    for (const auto& item : list) {
        const auto* map = item.if_object();
        if (auto one = map != nullptr ? read(*map) : std::nullopt) {
            all.push_back(*std::move(one));
        }
    }
    return all;
}

} // namespace

std::optional<stored_object> decode_object(std::string_view text) {
    const auto map = internal::parse_map(text);
    return map ? read_object(*map) : std::nullopt;
}

std::optional<stored_page> decode_page(std::string_view text) {
    const auto map = internal::parse_map(text);
    const auto revision = map ? internal::find_number(*map, "StoreRevision") : std::nullopt;
    const auto* items = map ? internal::find_list(*map, "items") : nullptr;
    if (!revision || items == nullptr) {
        return std::nullopt;
    }
    return stored_page{*revision, read_all<stored_object>(*items, read_object),
                       internal::is_true(*map, "More")};
}

std::optional<stored_changes> decode_changes(std::string_view text) {
    const auto map = internal::parse_map(text);
    const auto revision = map ? internal::find_number(*map, "StoreRevision") : std::nullopt;
    const auto* events = map ? internal::find_list(*map, "events") : nullptr;
    if (!revision || events == nullptr) {
        return std::nullopt;
    }
    return stored_changes{*revision, read_all<stored_change>(*events, read_change)};
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
