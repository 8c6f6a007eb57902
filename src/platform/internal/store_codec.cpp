#include "platform/store_codec.h"

#include "platform/internal/json_fields.h"
#include "platform/internal/json_pieces.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace monsoonlift::platform {

namespace json = boost::json;

namespace {

std::optional<stored_object> read_metadata(const json::object& metadata) {
    const auto name = internal::find_text(metadata, "Name");
    const auto version = internal::find_number(metadata, "Rev");
    if (!name || !version) {
        return std::nullopt;
    }
    stored_object read;
    read.name = *name;
    read.version = *version;
    read.is_being_removed = internal::is_true(metadata, "Deleting");
    return read;
}

std::optional<stored_object> read_object(const json::object& map) {
    const auto* metadata = internal::find_map(map, "Metadata");
    auto read = metadata != nullptr ? read_metadata(*metadata) : std::nullopt;
    const auto* content = map.if_contains("Spec");
    if (read && content != nullptr) {
        read->content = *content;
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

/// Decodes the maps in a list with `read`; skips other elements and maps that `read` rejects.
template <class T>
std::vector<T> read_all(const json::array& list, std::optional<T> (*read)(const json::object&)) {
    std::vector<T> all;
    for (const auto& item : list) {
        const auto* map = item.if_object();
        if (auto decoded = map != nullptr ? read(*map) : std::nullopt) {
            all.push_back(*std::move(decoded));
        }
    }
    return all;
}

/// Like read_all, for the text of a list that can't be parsed as a unit: decodes each element on its own.
template <class T>
std::vector<T> read_pieces(std::string_view list, std::optional<T> (*read)(std::string_view)) {
    std::vector<T> all;
    for (const auto piece : internal::elements_of(list)) {
        if (auto decoded = read(piece)) {
            all.push_back(*std::move(decoded));
        }
    }
    return all;
}

/// Decodes an object whose text can't be parsed as a unit, such as one with a malformed part from another
/// writer. A malformed `Spec` is null; with malformed `Metadata` there is no object.
std::optional<stored_object> read_object_pieces(std::string_view text) {
    const auto metadata = internal::parse_map(internal::value_at(text, "Metadata"));
    auto read = metadata ? read_metadata(*metadata) : std::nullopt;
    boost::system::error_code fault;
    const auto spec = internal::value_at(text, "Spec");
    auto content = json::parse({spec.data(), spec.size()}, fault);
    if (read && !fault) {
        read->content = std::move(content);
    }
    return read;
}

std::optional<stored_change> read_change_pieces(std::string_view text) {
    auto read = decode_object(internal::value_at(text, "Object"));
    if (!read) {
        return std::nullopt;
    }
    return stored_change{*std::move(read), internal::value_at(text, "Deleted") == "true"};
}

/// Returns the store's revision from an answer that can't be parsed as a unit.
std::optional<std::uint64_t> read_revision(std::string_view text) {
    return internal::parse_number(internal::value_at(text, "StoreRevision"));
}

} // namespace

std::optional<stored_object> decode_object(std::string_view text) {
    const auto map = internal::parse_map(text);
    return map ? read_object(*map) : read_object_pieces(text);
}

std::optional<stored_page> decode_page(std::string_view text) {
    const auto map = internal::parse_map(text);
    const auto revision = map ? internal::find_number(*map, "StoreRevision") : read_revision(text);
    if (!revision) {
        return std::nullopt;
    }
    if (!map) {
        return stored_page{*revision, read_pieces(internal::value_at(text, "items"), decode_object),
                           internal::value_at(text, "More") == "true"};
    }
    const auto* items = internal::find_list(*map, "items");
    if (items == nullptr) {
        return std::nullopt;
    }
    return stored_page{*revision, read_all(*items, read_object), internal::is_true(*map, "More")};
}

std::optional<stored_changes> decode_changes(std::string_view text) {
    const auto map = internal::parse_map(text);
    const auto revision = map ? internal::find_number(*map, "StoreRevision") : read_revision(text);
    if (!revision) {
        return std::nullopt;
    }
    if (!map) {
        return stored_changes{*revision, read_pieces(internal::value_at(text, "events"), read_change_pieces)};
    }
    const auto* events = internal::find_list(*map, "events");
    if (events == nullptr) {
        return std::nullopt;
    }
    return stored_changes{*revision, read_all(*events, read_change)};
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
